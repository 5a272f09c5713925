"""Settings of the C library's allocator."""

import contextlib
import ctypes

#: Parameter of ``mallopt``: size from which memory is mapped separately.
_M_MMAP_THRESHOLD = -3

#: Size from which a buffer is returned to the system as soon as it is freed.
MAPPED_BYTES = 1 << 15


def tune_allocator() -> None:
    """Return the memory of large buffers to the system once they are freed.

    The C library raises this size by itself, to 32 MB, when a large buffer is
    freed. Later ones then lie in the heap, whose gaps stay resident.
    """
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).mallopt(_M_MMAP_THRESHOLD, MAPPED_BYTES)
