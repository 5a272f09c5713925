"""Check of a configuration of the platform before it is sent."""

import collections
import pathlib
import sys

import msgspec

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge.cli import _errors
from tarragonhinge import platform
from tarragonhinge import preflight

#: Path that stands for standard input.
STANDARD_INPUT = "-"

FORMATS = ("text", "json")


class _Report(msgspec.Struct, frozen=True, kw_only=True):
    """Output of the check as JSON."""

    findings: list[dict[str, str]]
    changes: list[dict[str, str | bool]]


def check_configuration(
    *, new: str, against: str, settings: str, servers: str, output_format: str
) -> int:
    """Check a configuration, print the result, and return the exit status.

    Parameters
    ----------
    new, against : str
        Files with the configuration to check and the one in force; the
        second one may be empty. "-" stands for standard input.
    settings, servers : str
        Settings of an instance, and a JSON object of the servers' entries by
        id; empty if not given.
    output_format : str
        ``text`` or ``json``.

    Returns
    -------
    int
        0 without findings, else 1.

    Raises
    ------
    CommandError
        If a file or an argument can't be used.
    """
    if output_format not in FORMATS:
        raise _errors.CommandError(
            problem=f"--format={output_format} is unknown",
            remedy=f"use one of {', '.join(FORMATS)}",
        )
    if STANDARD_INPUT in (new, against) and new == against:
        raise _errors.CommandError(
            problem="only one configuration can be read from standard input",
            remedy="pass the other one as a file",
        )
    surroundings = _load_surroundings(settings, servers)
    current = _load_current(against) if against else None
    findings: list[preflight.Finding] = []
    changes: list[preflight.Change] = []
    try:
        table = platform.PlatformCodec().decode_routing(_read(new))
    except base.CodecError as error:
        findings.append(
            preflight.Finding(
                severity=preflight.Severity.ERROR,
                place=preflight.Place(),
                problem=error.problem,
                effect="instances ignore it; the last one stays in force",
                remedy="correct the part that is named",
            )
        )
    else:
        findings += preflight.check_table(table, surroundings)
        if current is not None:
            findings += _check_version(table, current)
            changes += preflight.compare_tables(current, table)
    _print_report(findings, changes, output_format)
    return 1 if findings else 0


def _check_version(
    table: catalog.RoutingTable, current: catalog.RoutingTable
) -> list[preflight.Finding]:
    if table.version > current.version:
        return []
    return [
        preflight.Finding(
            severity=preflight.Severity.ERROR,
            place=preflight.Place(section="version"),
            problem=f"version {table.version} is not above version "
            f"{current.version}, which is in force",
            effect="instances ignore it",
            remedy="raise the version",
        )
    ]


def _read(path: str) -> bytes:
    if path == STANDARD_INPUT:
        return sys.stdin.buffer.read()
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise _errors.CommandError(
            problem=f"{path} cannot be read: {error}",
            remedy="pass a file with a configuration, or - for standard input",
        ) from error


def _load_current(path: str) -> catalog.RoutingTable:
    try:
        return platform.PlatformCodec().decode_routing(_read(path))
    except base.CodecError as error:
        raise _errors.CommandError(
            problem=f"{path}: {error.problem}",
            remedy="pass the configuration that is in force",
        ) from error


def _load_surroundings(settings: str, servers: str) -> preflight.Surroundings:
    surroundings = preflight.Surroundings()
    if settings:
        options = platform.load_node_file(pathlib.Path(settings))
        surroundings = preflight.Surroundings(
            zones=dict(options.zones), memory_bytes=options.memory_bytes
        )
    if not servers:
        return surroundings
    codec = platform.PlatformCodec()
    try:
        rows = msgspec.json.decode(_read(servers), type=dict[str, msgspec.Raw])
        entries = [
            codec.decode_server(key, bytes(value))
            for key, value in rows.items()
        ]
    except base.DECODE_ERRORS as error:
        raise _errors.CommandError(
            problem=f"{servers} cannot be decoded: {error}",
            remedy="pass a JSON object of the servers' entries by id",
        ) from error
    return msgspec.structs.replace(surroundings, servers=entries)


def _print_report(
    findings: list[preflight.Finding],
    changes: list[preflight.Change],
    output_format: str,
) -> None:
    if output_format == "json":
        report = _Report(
            findings=[
                {
                    "severity": finding.severity.value,
                    "place": platform.format_place(finding.place),
                    "problem": finding.problem,
                    "effect": finding.effect,
                    "remedy": finding.remedy,
                }
                for finding in findings
            ],
            changes=[
                {
                    "place": platform.format_place(change.place),
                    "summary": change.summary,
                    "is_stricter": change.is_stricter,
                }
                for change in changes
            ],
        )
        encoded = msgspec.json.format(msgspec.json.encode(report))
        print(encoded.decode())
        return
    for finding in findings:
        print(
            f"{finding.severity.value}: "
            f"{platform.format_place(finding.place)}: {finding.problem}\n"
            f"    effect: {finding.effect}\n    remedy: {finding.remedy}"
        )
    for change in changes:
        mark = " [stricter]" if change.is_stricter else ""
        print(
            f"change: {platform.format_place(change.place)}: "
            f"{change.summary}{mark}"
        )
    counts = collections.Counter(finding.severity for finding in findings)
    summary = ", ".join(
        f"{n} {severity.value}" for severity, n in counts.items()
    )
    print(summary or "no findings", file=sys.stderr)
