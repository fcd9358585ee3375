"""What a soak is asked for, and its result."""

from attrs import define

from almondspread_standin.soak.pool import KEPT_ID_SHARE


@define(frozen=True)
class SoakPlan:
    """The size and duration of a soak, and the seed of its random choices.

    ``seconds`` is the time under faults. With ``waves``, the machines of the upstreams
    also undergo maintenance. With ``variety``, there are jobs of all kinds, a store
    with small rows, and a short retention; with ``removes_queue``, jobs of all kinds
    also go to a queue that comes and goes. With ``configurations``, the faults are
    those beside which a configuration has to be in force in time; with ``silences``,
    connections fall silent for good, again and again; with ``takeovers``, leaders are
    lost in series together with upstreams, and many tasks last; with
    ``loses_domain``, one failure domain is lost for good beside such tasks; with
    ``foreign_entries``, entries of another writer have the addresses of upstreams that
    are cut off from the store. With ``workspaces``, callers need keys, which come and
    go under the faults of ``configurations``, and one workspace sends more than its
    rate and has a limit. With ``restarts``, upstreams restart under their ids, several
    at once, beside jobs of all kinds and tasks that run for long. ``kept_id_share`` is
    the share of the crashed upstreams that start again under their id.
    """

    seed: int
    seconds: float
    instances: int = 5
    upstreams: int = 6
    waves: bool = False
    variety: bool = False
    removes_queue: bool = False
    configurations: bool = False
    silences: bool = False
    takeovers: bool = False
    foreign_entries: bool = False
    loses_domain: bool = False
    kept_id_share: float = KEPT_ID_SHARE
    workspaces: bool = False
    restarts: bool = False


@define(frozen=True)
class SoakResult:
    """The result of a soak, which has passed if ``violations`` is empty.

    ``jobs`` counts the accepted jobs, ``starts`` the runs of tasks, ``calls`` the
    requests of clients, and ``maintained`` the maintenance orders that took effect.
    ``late_starts`` counts tasks that last and began late, for which there is no rule.
    """

    seed: int
    violations: list[str]
    jobs: int
    completed: int
    rejected: int
    starts: int
    faults: int
    calls: int
    maintained: int
    late_starts: int
