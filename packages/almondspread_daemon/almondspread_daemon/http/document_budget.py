"""How much may be decoded of the documents that clients send."""

from attrs import define

from almondspread.codec import count_values
from almondspread.errors import InvalidInput, Problem, Unavailable
from almondspread_daemon.http.client_connection import Refusal

RETRY_SECONDS = 2.0


@define
class DocumentBudget:
    """The values of all documents that are decoded and in use, at most ``limit``.

    A decoded value takes far more memory than its text, so that the limits on bytes do
    not bound it.

    >>> budget = DocumentBudget(limit=10)
    >>> budget.check(b"[1,2,3,4,5,6]") is None
    True
    >>> budget.reserve(b"[1,2,3,4,5,6]")
    7
    >>> budget.check(b"[1,2,3]")
    <Refusal.DOCUMENTS_FULL: 'documents_full'>
    """

    limit: int
    held: int = 0

    def check(self, data: bytes) -> Refusal | None:
        """Return why a JSON text may not be decoded now, ``None`` if it may."""
        count = count_values(data)
        if count > self.limit:
            return Refusal.DOCUMENT_TOO_LARGE
        if count > self.limit - self.held:
            return Refusal.DOCUMENTS_FULL
        return None

    def reserve(self, data: bytes) -> int:
        """Add the values of a text that is decoded now, and return their number."""
        count = count_values(data)
        self.held += count
        return count

    def release(self, count: int) -> None:
        """Free the values of a document that is no longer used."""
        self.held -= count

    def make_problem(self, refusal: Refusal) -> Problem:
        """Return the problem that tells a client why its document is not decoded."""
        if refusal == Refusal.DOCUMENT_TOO_LARGE:
            return InvalidInput(
                f"the document has more than {self.limit} values",
                "send less in one request",
            )
        return Unavailable(
            "the instance is busy with other documents",
            "send the request again later, or to another instance",
            not_run=True,
            retry_after_seconds=RETRY_SECONDS,
        )
