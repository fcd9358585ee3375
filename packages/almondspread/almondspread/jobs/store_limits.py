"""What the platform's store takes in one row and in one call.

Everything that is sent is made to fit these limits. What can grow has a bound here or
is spread over rows.
"""

from attrs import define

from almondspread.jobs.ports import Transaction

# What an entry takes in the body of a call besides its texts and its value.
ENTRY_BYTES = 60


@define(frozen=True)
class StoreLimits:
    """Limits of the store; it refuses whatever exceeds one of them.

    A row's value has at most ``row_bytes``, and each of the texts that name it at most
    ``name_bytes``. A call has at most ``call_entries`` conditions, writes and removals,
    and its body at most ``call_bytes``.

    >>> StoreLimits().values_bytes
    600000
    """

    row_bytes: int = 65_536
    name_bytes: int = 200
    call_entries: int = 100
    call_bytes: int = 1_000_000

    @property
    def values_bytes(self) -> int:
        """How many bytes all values of one call may have.

        A value takes a third more space in the body than it has bytes. The names of as
        many rows as a call may have take less than the rest.
        """
        return self.call_bytes * 6 // 10

    @property
    def conditional_rows(self) -> int:
        """How many rows one call may write or remove that each have a condition."""
        return self.call_entries // 2


DEFAULT_LIMITS = StoreLimits()


def find_excess(transaction: Transaction, limits: StoreLimits) -> str:
    """Return which limit of the store a transaction exceeds, or an empty string.

    >>> from almondspread.jobs.ports import RowName, RowPut
    >>> put = RowPut(RowName("progress", "cell", "j"), bytes(70_000))
    >>> find_excess(Transaction(puts=(put,)), StoreLimits())
    'the row progress/j has 70000 bytes, and the store takes 65536'
    """
    names = [condition.name for condition in transaction.conditions]
    names.extend(put.name for put in transaction.puts)
    names.extend(transaction.removals)
    if len(names) > limits.call_entries:
        return (
            f"the call has {len(names)} entries, "
            f"and the store takes {limits.call_entries}"
        )
    if len({name.partition for name in names}) > 1:
        return "the call has rows of several partitions"
    size = 0
    for name in names:
        texts = (name.table, name.partition, name.key)
        if any(len(text.encode()) > limits.name_bytes for text in texts):
            return f"a name is longer than {limits.name_bytes} bytes: {texts}"[:400]
        size += ENTRY_BYTES + sum(len(text.encode()) for text in texts)
    for put in transaction.puts:
        if len(put.value) > limits.row_bytes:
            return (
                f"the row {put.name.table}/{put.name.key} has {len(put.value)} bytes, "
                f"and the store takes {limits.row_bytes}"
            )
        size += 4 * len(put.value) // 3
    if size > limits.call_bytes:
        return f"the call has {size} bytes, and the store takes {limits.call_bytes}"
    return ""
