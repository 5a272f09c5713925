"""Memory of a machine that clients may use."""

#: Resident memory of a process whose clients hold nothing: 51 MB were measured
#: after the start with 4 servers, 62 MB after some thousand requests. The rest
#: is for the tables of a large fleet.
PROCESS_BYTES = 68_000_000

#: Part of the other memory that is used; the allocator can't use all of it.
BUDGET_FRACTION = 0.9

#: Memory of a process whose settings name none.
DEFAULT_MEMORY_BYTES = 1_000_000_000

#: Smallest budget, with which small requests are still served.
MIN_BUDGET_BYTES = 8_000_000


def compute_budget(memory_bytes: int | None) -> int:
    """Return the memory for clients on a machine.

    Parameters
    ----------
    memory_bytes : int or None
        Memory of the machine; None if it is not known.
    """
    memory_bytes = memory_bytes or DEFAULT_MEMORY_BYTES
    free_bytes = memory_bytes - PROCESS_BYTES
    return max(MIN_BUDGET_BYTES, int(free_bytes * BUDGET_FRACTION))
