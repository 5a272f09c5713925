"""Reads settings files and reports all that is wrong at once."""

import configparser
import dataclasses

from tarragonhinge import base
from tarragonhinge.settings import _schema
from tarragonhinge import shards


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SettingProblem:
    """One wrong, unknown or missing entry."""

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
    """A settings file has problems.

    Parameters
    ----------
    problems : list of SettingProblem
        All of them.
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
    """Checked settings of one instance.

    Parameters
    ----------
    name, region, zone : str
        Who the instance is and where it stands.
    callers, peers, operators : Address
        Where it listens.
    table, instances : Address
        Where the platform's services are.
    peer_keys : str
        File of the keys between instances; empty for none.
    seeds : tuple of Address
        Peers to ask while the list of instances cannot be had.
    platform_timeout_ms : int
        Bound on one call to the platform.
    timing : Timing
        Durations of leases and heartbeats.
    notice_ms, limit_ms : int
        Durations of a graceful stop.
    token_file : str
        File of operators' tokens; empty if there is none.
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
    """Return the settings in a file.

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
    """Return the settings in a parsed file.

    Raises
    ------
    SettingsError
        With every problem of the file.
    """
    problems = _find_unknown(parser)
    values: dict[tuple[str, str], object] = {}
    for spec in _schema.SPECS:
        text = parser.get(spec.section, spec.name, fallback=spec.default)
        try:
            if text is None:
                raise ValueError("missing")
            values[spec.section, spec.name] = spec.parse(text.strip())
        except ValueError:
            problems.append(_describe(spec, text))
    if problems:
        raise SettingsError(problems=problems)
    return _build(values)


def _find_unknown(parser: configparser.ConfigParser) -> list[SettingProblem]:
    known = {(spec.section, spec.name) for spec in _schema.SPECS}
    sections = sorted({spec.section for spec in _schema.SPECS})
    problems = []
    for section in parser.sections():
        for name, value in parser.items(section):
            if (section, name) in known:
                continue
            names = sorted(n for s, n in known if s == section)
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


def _describe(spec: _schema.SettingSpec, text: str | None) -> SettingProblem:
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


def _build(values: dict[tuple[str, str], object]) -> Settings:
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
    """Return a commented settings file with every entry."""
    lines: list[str] = []
    section = ""
    for spec in _schema.SPECS:
        if spec.section != section:
            section = spec.section
            lines += ["", f"[{section}]"] if lines else [f"[{section}]"]
        lines.append(f"# {spec.help}; {spec.allowed}")
        example = spec.default
        if example is None:
            example = _EXAMPLES[section, spec.name]
        prefix = "" if spec.default is None else "# "
        lines.append(f"{prefix}{spec.name} = {example}".rstrip())
    return "\n".join(lines) + "\n"


_EXAMPLES = {
    ("instance", "name"): "entry-1",
    ("instance", "region"): "centro",
    ("instance", "zone"): "centro-a",
    ("listen", "callers"): "127.0.0.1:8080",
    ("listen", "peers"): "127.0.0.1:8081",
    ("listen", "operators"): "127.0.0.1:8082",
    ("platform", "table"): "127.0.0.1:8090",
    ("platform", "instances"): "127.0.0.1:8090",
}
