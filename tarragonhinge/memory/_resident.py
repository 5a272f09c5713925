"""Memory that the process really holds."""

import contextlib
import os
import pathlib

#: File with the sizes of this process in pages; the second one is resident.
_SIZES = pathlib.Path("/proc/self/statm")

_PAGE_BYTES = os.sysconf("SC_PAGESIZE")


class ResidentMemory:
    """Reads the resident memory of this process from Linux's ``/proc``."""

    def __init__(self) -> None:
        self._descriptor: int | None = None
        with contextlib.suppress(OSError):
            self._descriptor = os.open(_SIZES, os.O_RDONLY)

    def read_bytes(self) -> int | None:
        """Return the size in bytes; None if the system does not tell."""
        if self._descriptor is None:
            return None
        try:
            sizes = os.pread(self._descriptor, 128, 0)
            return int(sizes.split()[1]) * _PAGE_BYTES
        except (OSError, ValueError, IndexError):
            return None

    def close(self) -> None:
        """Close the file."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None
