"""The kinds of problem an answer can carry, each with its HTTP status."""

from typing import Any, ClassVar

from attrs import define

# An error is no longer than this, whatever it quotes of a request.
MAX_MESSAGE_LETTERS = 8_000


@define(frozen=True)
class Problem:
    """One reason why a call was not served as asked.

    ``message`` says what is wrong, ``remedy`` what the caller can do about it.
    ``not_run`` is true only where the system can prove that this submission did
    not run and never will, false where it ran, and ``None`` where that is unknown
    or does not apply. ``retry_after_seconds`` tells when to come back, if ever.
    ``earlier_not_run`` says the same as ``not_run`` of the submissions that came
    earlier under the same idempotency key.

    >>> from almondspread.errors import NotFound
    >>> problem = NotFound("service 'stops' does not exist", "list the services")
    >>> problem.to_document()["code"]
    'not_found'
    """

    code: ClassVar[str] = "problem"
    http_status: ClassVar[int] = 500

    message: str
    remedy: str
    not_run: bool | None = None
    retry_after_seconds: float | None = None
    earlier_not_run: bool | None = None

    def to_document(self) -> dict[str, Any]:
        """Return the JSON body of an answer that carries this problem."""
        document: dict[str, Any] = {
            "code": self.code,
            "message": self.message[:MAX_MESSAGE_LETTERS],
            "remedy": self.remedy,
            "not_run": self.not_run,
            "earlier_not_run": self.earlier_not_run,
        }
        if self.retry_after_seconds is not None:
            document["retry_after_seconds"] = self.retry_after_seconds
        return document


@define(frozen=True)
class InvalidInput(Problem):
    """The request itself is wrong; nothing of it was kept."""

    code: ClassVar[str] = "invalid_input"
    http_status: ClassVar[int] = 400
    not_run: bool | None = True


@define(frozen=True)
class TooLarge(Problem):
    """A header or body is over its limit; nothing of it was kept."""

    code: ClassVar[str] = "too_large"
    http_status: ClassVar[int] = 413
    not_run: bool | None = True


@define(frozen=True)
class TooSlow(Problem):
    """A body did not arrive in time; nothing of it was kept."""

    code: ClassVar[str] = "too_slow"
    http_status: ClassVar[int] = 408
    not_run: bool | None = True


@define(frozen=True)
class Unauthenticated(Problem):
    """No valid credentials came with the request."""

    code: ClassVar[str] = "unauthenticated"
    http_status: ClassVar[int] = 401
    not_run: bool | None = True


@define(frozen=True)
class Forbidden(Problem):
    """The credentials do not allow this request."""

    code: ClassVar[str] = "forbidden"
    http_status: ClassVar[int] = 403
    not_run: bool | None = True


@define(frozen=True)
class NotFound(Problem):
    """The named resource, key or route does not exist."""

    code: ClassVar[str] = "not_found"
    http_status: ClassVar[int] = 404
    not_run: bool | None = True


@define(frozen=True)
class Conflict(Problem):
    """Another change came first, or a key was used with another payload."""

    code: ClassVar[str] = "conflict"
    http_status: ClassVar[int] = 409
    not_run: bool | None = True
    current_version: int | None = None

    def to_document(self) -> dict[str, Any]:
        """Return the JSON body, with the current version where there is one."""
        document = super().to_document()
        if self.current_version is not None:
            document["current_version"] = self.current_version
        return document


@define(frozen=True)
class Expired(Problem):
    """A watch asked for a version that is no longer kept."""

    code: ClassVar[str] = "expired"
    http_status: ClassVar[int] = 410
    not_run: bool | None = True


@define(frozen=True)
class Overloaded(Problem):
    """A queue or limit is full, or the deadline cannot be met; it was not run."""

    code: ClassVar[str] = "overloaded"
    http_status: ClassVar[int] = 429
    not_run: bool | None = True


@define(frozen=True)
class Unavailable(Problem):
    """Something that the request needs cannot be reached now."""

    code: ClassVar[str] = "unavailable"
    http_status: ClassVar[int] = 503


@define(frozen=True)
class OutcomeUnknown(Problem):
    """The request was dispatched and its outcome is not known."""

    code: ClassVar[str] = "outcome_unknown"
    http_status: ClassVar[int] = 504
    not_run: bool | None = None
