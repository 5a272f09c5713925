"""Differences between two routing tables, as operators see them."""

from collections.abc import Iterator
import operator
from typing import Any

import msgspec

from tarragonhinge import catalog
from tarragonhinge.preflight import _finding

#: Numbers of which a lower value is stricter for callers.
_LOWER_IS_STRICTER = frozenset(
    {
        "timeout_ms",
        "max_attempts",
        "max_connections",
        "cold_rate",
        "header_bytes",
        "body_bytes",
        "header_timeout_ms",
        "idle_timeout_ms",
    }
)

#: Numbers of which a higher value is stricter for callers.
_HIGHER_IS_STRICTER = frozenset({"warm_up_ms", "warm_ms"})


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """One difference between two routing tables.

    Parameters
    ----------
    place : Place
        Where the tables differ.
    summary : str
        The difference in words.
    is_stricter : bool
        Whether callers may be refused that are served now.
    """

    place: _finding.Place
    summary: str
    is_stricter: bool = False


def compare_tables(
    current: catalog.RoutingTable, new: catalog.RoutingTable
) -> list[Change]:
    """Return what changes for callers, by route, by service, then limits."""
    return [
        *_compare_entries("routes", current.routes, new.routes),
        *_compare_entries("services", current.services, new.services),
        *_compare_fields(
            current.limits, new.limits, _finding.Place(section="limits")
        ),
    ]


def _compare_entries(
    section: str, current: tuple, new: tuple
) -> Iterator[Change]:
    get_name = operator.attrgetter("name")
    old_entries = {get_name(entry): entry for entry in current}
    for index, entry in enumerate(new):
        place = _finding.Place(
            section=section, index=index, name=get_name(entry)
        )
        old = old_entries.pop(get_name(entry), None)
        if old is None:
            yield Change(place=place, summary="is added")
        else:
            yield from _compare_fields(old, entry, place)
    for name in old_entries:
        yield Change(
            place=_finding.Place(section=section, name=name),
            summary="is removed",
            is_stricter=True,
        )


def _compare_fields(
    old: msgspec.Struct, new: msgspec.Struct, place: _finding.Place
) -> Iterator[Change]:
    for field in new.__struct_fields__:
        before, after = getattr(old, field), getattr(new, field)
        if before != after:
            yield Change(
                place=msgspec.structs.replace(place, field=field),
                summary=f"{_format_value(before)} becomes "
                f"{_format_value(after)}",
                is_stricter=_is_stricter(field, before, after),
            )


def _is_stricter(field: str, before: Any, after: Any) -> bool:
    """Return whether a new value allows less than the former one."""
    if field == "cold_rate":
        # Zero means that there is no limit.
        return bool(after) and (not before or after < before)
    if field in _LOWER_IS_STRICTER:
        return after < before
    if field in _HIGHER_IS_STRICTER:
        return after > before
    if field == "allowed_regions":
        return bool(after) and (not before or not set(before) <= set(after))
    if field == "kind":
        return after is catalog.RequestKind.NON_IDEMPOTENT
    return False


def _format_value(value: Any) -> str:
    """Return a value as an operator writes it.

    Examples
    --------
    >>> _format_value(())
    'none'
    >>> _format_value(("sur", "norte"))
    'sur, norte'
    """
    if isinstance(value, tuple):
        return ", ".join(_format_value(item) for item in value) or "none"
    if isinstance(value, catalog.Target):
        return f"{value.service} (weight {value.weight:g})"
    if isinstance(value, catalog.RequestKind):
        return value.value
    return str(value)
