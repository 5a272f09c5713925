"""Validation of parameters, with uniform error messages."""

from collections.abc import Collection

from tarragonhinge.base._errors import ParameterError


def check_range(name: str, value: float, *, low: float, high: float) -> float:
    """Return `value` if it lies in ``[low, high]``.

    Raises
    ------
    ParameterError
        If `value` is a boolean or lies outside the range.

    Examples
    --------
    >>> check_range("slots", 2, low=1, high=64)
    2
    >>> check_range("slots", 0, low=1, high=64)
    Traceback (most recent call last):
        ...
    tarragonhinge.base._errors.ParameterError: slots=0 is out of range; \
set it to a number from 1 to 64
    """
    if isinstance(value, bool) or not low <= value <= high:
        raise ParameterError(
            problem=f"{name}={value!r} is out of range",
            remedy=f"set it to a number from {low} to {high}",
        )
    return value


def check_choice(name: str, value: str, *, choices: Collection[str]) -> str:
    """Return `value` if it is one of `choices`.

    Raises
    ------
    ParameterError
        If `value` is not one of `choices`.
    """
    if value not in choices:
        raise ParameterError(
            problem=f"{name}={value!r} is not a valid choice",
            remedy=f"choose one of {', '.join(sorted(choices))}",
        )
    return value
