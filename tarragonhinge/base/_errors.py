"""Base classes of errors; each message ends with a remedy."""

import msgspec


class TarragonhingeError(Exception):
    """Base class of all errors raised by this package.

    Parameters
    ----------
    problem : str
        What is wrong, with the name and the value involved.
    remedy : str
        How the reader can fix it.
    """

    def __init__(self, *, problem: str, remedy: str) -> None:
        super().__init__(f"{problem}; {remedy}")
        self.problem = problem
        self.remedy = remedy


class ParameterError(TarragonhingeError):
    """A parameter has the wrong type or is out of range."""


class RegistryError(TarragonhingeError):
    """A name is not registered, or is registered twice."""


class CodecError(TarragonhingeError):
    """Received bytes cannot be decoded as the expected type."""


#: Errors of a decoder for bytes that do not hold the expected type. JSON that
#: is nested deeper than the interpreter's limit raises `RecursionError`, and
#: text that is not UTF-8 a `ValueError`.
DECODE_ERRORS = (msgspec.DecodeError, ValueError, RecursionError)
