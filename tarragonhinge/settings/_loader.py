"""Loading of settings files.

All problems of a file are reported at once.
"""

import configparser
import dataclasses

from tarragonhinge import base
from tarragonhinge.settings import _schema
from tarragonhinge import shards


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SettingProblem:
    """Invalid, unknown or missing entry of a settings file.

    Parameters
    ----------
    section, name : str
        Section and name of the entry.
    value : str
        Text of the value; empty for a missing entry.
    allowed : str
        Description of the allowed values.
    remedy : str
        How to correct the entry.
    """

    section: str
    name: str
    value: str
    allowed: str
    remedy: str

    def __str__(self) -> str:
        """Return the problem as one line."""
        return (
            f"[{self.section}] {self.name} = {self.value!r}: allowed is "
            f"{self.allowed}; {self.remedy}"
        )


class SettingsError(base.TarragonhingeError):
    """A settings file is invalid.

    Parameters
    ----------
    problems : list of SettingProblem
        All problems of the file.
    """

    def __init__(self, *, problems: list[SettingProblem]) -> None:
        self.problems = problems
        lines = "\n".join(str(problem) for problem in problems)
        super().__init__(
            problem=f"{len(problems)} settings are wrong:\n{lines}",
            remedy="correct them and start again",
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Settings:
    """Validated settings of an instance.

    Parameters
    ----------
    name, region, zone : str
        Name of the instance, and the region and availability zone in
        which it runs.
    callers, peers, operators : Address
        Addresses on which the instance listens for callers, for other
        instances and for operators.
    table : Address
        Address of the platform's table service and object store.
    instances : Address
        Address of the platform's list of instances.
    peer_keys : str
        Path of the file with the keys for authentication between
        instances; empty for none.
    seeds : tuple of Address
        Other instances to report to if no poller replies, for example
        while the list of instances is unavailable.
    platform_timeout_ms : int
        Timeout of a call to the platform, in milliseconds.
    timing : Timing
        Durations of leases and heartbeats.
    notice_ms : int
        Time at the start of a graceful stop that lets the load balancer
        notice that the instance is not ready, in milliseconds.
    limit_ms : int
        Timeout of each of the two phases of a graceful stop, in
        milliseconds: the handover of shards, and the draining of
        requests.
    token_file : str
        Path of the file with operators' tokens; empty for none, which
        forbids edits.
    """

    name: base.InstanceId
    region: base.RegionName
    zone: base.ZoneName
    callers: base.Address
    peers: base.Address
    operators: base.Address
    table: base.Address
    instances: base.Address
    peer_keys: str = ""
    seeds: tuple[base.Address, ...] = ()
    platform_timeout_ms: int = 1000
    timing: shards.Timing = dataclasses.field(default_factory=shards.Timing)
    notice_ms: int = 3000
    limit_ms: int = 30_000
    token_file: str = ""


def load_settings(path: str) -> Settings:
    """Return the settings read from a file.

    Raises
    ------
    SettingsError
        With every problem of the file.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as stream:
            parser.read_file(stream)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        problem = SettingProblem(
            section="",
            name=path,
            value=str(error).splitlines()[0],
            allowed="a readable INI file",
            remedy="start from the output of 'tarragonhinge settings example'",
        )
        raise SettingsError(problems=[problem]) from error
    return parse_settings(parser)


def parse_settings(parser: configparser.ConfigParser) -> Settings:
    """Return the settings read from a parsed file.

    Raises
    ------
    SettingsError
        With every problem of the file.
    """
    problems = _find_unknown_entries(parser)
    values: dict[tuple[str, str], object] = {}
    for spec in _schema.SPECS:
        text = parser.get(spec.section, spec.name, fallback=spec.default)
        try:
            if text is None:
                raise ValueError("missing")
            values[spec.section, spec.name] = spec.parse(text.strip())
        except ValueError:
            problems.append(_make_problem(spec, text))
    if problems:
        raise SettingsError(problems=problems)
    return _make_settings(values)


def _find_unknown_entries(
    parser: configparser.ConfigParser,
) -> list[SettingProblem]:
    known_entries = {(spec.section, spec.name) for spec in _schema.SPECS}
    sections = sorted({spec.section for spec in _schema.SPECS})
    problems = []
    for section in parser.sections():
        for name, value in parser.items(section):
            if (section, name) in known_entries:
                continue
            names = sorted(n for s, n in known_entries if s == section)
            allowed = f"one of {', '.join(names or sections)}"
            problems.append(
                SettingProblem(
                    section=section,
                    name=name,
                    value=value,
                    allowed=allowed,
                    remedy="remove the entry or correct its name",
                )
            )
    return problems


def _make_problem(
    spec: _schema.SettingSpec, text: str | None
) -> SettingProblem:
    remedy = "correct the value"
    if text is None:
        remedy = f"add the entry: {spec.help}"
    return SettingProblem(
        section=spec.section,
        name=spec.name,
        value="" if text is None else text,
        allowed=spec.allowed,
        remedy=remedy,
    )


def _make_settings(values: dict[tuple[str, str], object]) -> Settings:
    durations = {
        name: value
        for (section, name), value in values.items()
        if section == "timing"
    }
    try:
        timing = shards.Timing(**durations)
    except base.ParameterError as error:
        problem = SettingProblem(
            section="timing",
            name="heartbeat_ms",
            value=str(durations["heartbeat_ms"]),
            allowed="less than half of lease_ms",
            remedy=error.remedy,
        )
        raise SettingsError(problems=[problem]) from error
    return Settings(
        name=values["instance", "name"],
        region=values["instance", "region"],
        zone=values["instance", "zone"],
        callers=values["listen", "callers"],
        peers=values["listen", "peers"],
        operators=values["listen", "operators"],
        table=values["platform", "table"],
        instances=values["platform", "instances"],
        peer_keys=values["security", "peer_keys"],
        seeds=values["platform", "seeds"],
        platform_timeout_ms=values["platform", "timeout_ms"],
        timing=timing,
        notice_ms=values["stop", "notice_ms"],
        limit_ms=values["stop", "limit_ms"],
        token_file=values["operators", "token_file"],
    )


def format_example() -> str:
    """Return a commented example of a settings file with every entry."""
    lines: list[str] = []
    section = ""
    for spec in _schema.SPECS:
        if spec.section != section:
            section = spec.section
            lines += ["", f"[{section}]"] if lines else [f"[{section}]"]
        lines.append(f"# {spec.help}; {spec.allowed}")
        example = spec.default
        if example is None:
            example = _EXAMPLE_VALUES[section, spec.name]
        prefix = "" if spec.default is None else "# "
        lines.append(f"{prefix}{spec.name} = {example}".rstrip())
    return "\n".join(lines) + "\n"


_EXAMPLE_VALUES = {
    ("instance", "name"): "entry-1",
    ("instance", "region"): "centro",
    ("instance", "zone"): "centro-a",
    ("listen", "callers"): "127.0.0.1:8080",
    ("listen", "peers"): "127.0.0.1:8081",
    ("listen", "operators"): "127.0.0.1:8082",
    ("platform", "table"): "127.0.0.1:8090",
    ("platform", "instances"): "127.0.0.1:8090",
}
