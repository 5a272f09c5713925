"""Registries of interchangeable implementations."""

from collections.abc import Callable
from typing import Generic
from typing import TypeVar

from tarragonhinge.base._errors import RegistryError

T = TypeVar("T")


class Registry(Generic[T]):
    """Named implementations of one interface, added by a decorator.

    Parameters
    ----------
    kind : str
        Kind of the implementations, as named in error messages.

    Examples
    --------
    >>> shapes = Registry(kind="shape")
    >>> @shapes.register("square")
    ... class Square:
    ...     pass
    >>> shapes.names()
    ['square']
    >>> shapes.find("square") is Square
    True
    """

    def __init__(self, *, kind: str) -> None:
        self._kind = kind
        self._entries: dict[str, type[T]] = {}

    def register(self, name: str) -> Callable[[type[T]], type[T]]:
        """Return a decorator that registers a class under `name`.

        Raises
        ------
        RegistryError
            If the name is already registered.
        """

        def add(entry: type[T]) -> type[T]:
            if name in self._entries:
                raise RegistryError(
                    problem=f"{self._kind} {name!r} is registered twice",
                    remedy="give one of them another name",
                )
            self._entries[name] = entry
            return entry

        return add

    def find(self, name: str) -> type[T]:
        """Return the class registered under `name`.

        Raises
        ------
        RegistryError
            If no class is registered under `name`.
        """
        if name not in self._entries:
            raise RegistryError(
                problem=f"{self._kind} {name!r} is not registered",
                remedy=f"choose one of {', '.join(self.names())}",
            )
        return self._entries[name]

    def names(self) -> list[str]:
        """Return the registered names, sorted."""
        return sorted(self._entries)
