"""Errors raised at interfaces; each message ends with its remedy."""


class TarragonhingeError(Exception):
    """Base of all errors that this package raises.

    Parameters
    ----------
    problem : str
        What is wrong, with the name and the value concerned.
    remedy : str
        What the reader can do about it.
    """

    def __init__(self, *, problem: str, remedy: str) -> None:
        super().__init__(f"{problem}; {remedy}")
        self.problem = problem
        self.remedy = remedy


class ParameterError(TarragonhingeError):
    """A parameter has the wrong type or lies outside its range."""


class RegistryError(TarragonhingeError):
    """A name is not registered, or is registered twice."""


class CodecError(TarragonhingeError):
    """Bytes from outside cannot be decoded as the expected type."""
