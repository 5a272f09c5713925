"""Names of a routing table's fields in the operator's configuration."""

from tarragonhinge import preflight

_NAMES = {
    "routes": {
        "targets": "backends",
        "objective_ms": "goalLatency",
        "timeout_ms": "timeout",
        "max_attempts": "maxAttempts",
        "allowed_regions": "allowedRegions",
    },
    "services": {
        "max_connections": "maxConns",
        "keyed": "sharded",
        "warm_ms": "warm",
        "warm_up_ms": "warmup",
        "cold_rate": "coldPerS",
        "health_path": "healthPath",
    },
    "limits": {
        "header_bytes": "maxHeaderBytes",
        "body_bytes": "maxBodyBytes",
        "header_timeout_ms": "headerTimeout",
        "idle_timeout_ms": "idleTimeout",
    },
}


def format_place(place: preflight.Place) -> str:
    """Return where a place is in the configuration.

    Examples
    --------
    >>> format_place(preflight.Place(section="routes", index=2, name="r7",
    ...                              field="timeout_ms"))
    'routes[2].timeout (r7)'
    >>> format_place(preflight.Place())
    'configuration'
    """
    if not place.section:
        return "configuration"
    text = place.section
    if place.index is not None:
        text += f"[{place.index}]"
    if place.field:
        names = _NAMES.get(place.section, {})
        text += f".{names.get(place.field, place.field)}"
    return f"{text} ({place.name})" if place.name else text
