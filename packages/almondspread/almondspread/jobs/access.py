"""Decides by a caller's key whether a request about jobs is allowed."""

import hmac
from collections.abc import Iterable
from datetime import timedelta

from attrs import define

from almondspread.jobs.configuration import Configuration, Queue
from almondspread.jobs.workspaces import Workspace, digest_key


@define(frozen=True)
class Allowed:
    """The request is allowed.

    ``workspace`` is the one whose key came with the request. It is empty on a public
    queue and in a cell without workspaces. ``checks_owner`` is false only in a cell
    without workspaces, where each caller may ask about each job.
    """

    workspace: str = ""
    checks_owner: bool = False


@define(frozen=True)
class UnknownKey:
    """No key came, or one that the newest configuration does not contain."""

    is_missing: bool


@define(frozen=True)
class OtherWorkspace:
    """The job belongs to another workspace than the caller."""

    workspace: str


@define(frozen=True)
class ConfigurationTooOld:
    """The configuration may be out of date, and the answer depends on the newest."""


KeyDecision = Allowed | UnknownKey | ConfigurationTooOld


@define(frozen=True)
class ConfigurationAge:
    """How well an instance knows that its configuration is the newest.

    ``is_current`` tells whether an unknown key cannot have been added since. ``age`` is
    the time since the configuration was known to be the newest, ``None`` if it never
    was. Keys are refused at an age above ``longest``, where ``None`` sets no bound.
    """

    is_current: bool
    age: timedelta | None = None
    longest: timedelta | None = None

    @property
    def is_too_old(self) -> bool:
        """Whether no key may be accepted by this configuration any more."""
        if self.longest is None:
            return False
        return self.age is None or self.age > self.longest


def decide_key(
    configuration: Configuration, queue: Queue, key: str, age: ConfigurationAge
) -> KeyDecision:
    """Decide whether a request with ``key``, empty for none, may use a queue.

    Where the configuration is too old for any key, no key is checked. Otherwise a
    missing key is refused at once, also where a newer version may exist: no key that is
    added since makes the request valid.

    >>> workspace = Workspace("w", key_digests=frozenset({digest_key("k-1")}))
    >>> configuration = Configuration(1, workspaces={"w": workspace})
    >>> queue = Queue("q", "a.example", "/jobs/", "s")
    >>> decide_key(configuration, queue, "k-1", ConfigurationAge(True)).workspace
    'w'
    >>> decide_key(configuration, queue, "k-2", ConfigurationAge(True))
    UnknownKey(is_missing=False)
    """
    if configuration.workspaces is None:
        return Allowed()
    if queue.public:
        return Allowed(checks_owner=True)
    if age.is_too_old:
        return ConfigurationTooOld()
    if not key:
        return UnknownKey(is_missing=True)
    workspace = _find_workspace(configuration.workspaces.values(), key)
    if workspace is not None:
        return Allowed(workspace.name, checks_owner=True)
    if not age.is_current:
        return ConfigurationTooOld()
    return UnknownKey(is_missing=False)


def decide_owner(allowed: Allowed, owner: str) -> Allowed | OtherWorkspace:
    """Decide whether an allowed caller may ask about a job of the workspace ``owner``.

    ``owner`` is empty for a job that belongs to none or whose workspace is not known.

    >>> decide_owner(Allowed("w-1", checks_owner=True), "w-2")
    OtherWorkspace(workspace='w-1')
    """
    if not allowed.checks_owner or not owner or owner == allowed.workspace:
        return allowed
    return OtherWorkspace(allowed.workspace)


def _find_workspace(workspaces: Iterable[Workspace], key: str) -> Workspace | None:
    """Return the first workspace that has a key, comparing the key with all digests.

    The time does not depend on how far a digest matches, nor on which one does.
    """
    digest = digest_key(key)
    found = None
    for workspace in workspaces:
        for known in workspace.key_digests:
            if hmac.compare_digest(known, digest) and found is None:
                found = workspace
    return found
