"""Schema of the settings file."""

from collections.abc import Callable
import dataclasses

from tarragonhinge import base


#: Minimum length of an operator's token, in characters.
MIN_TOKEN_LENGTH = 16


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SettingSpec:
    """Specification of one entry of the settings file.

    Parameters
    ----------
    section, name : str
        Section and name of the entry.
    parse : callable
        Converts the text into the value; raises ValueError for invalid
        text.
    allowed : str
        Description of the allowed values, for messages.
    default : str or None
        Text used if the entry is missing; None if the entry is required.
    help : str
        Description of the entry, in one line, for the example file.
    """

    section: str
    name: str
    parse: Callable[[str], object]
    allowed: str
    default: str | None = None
    help: str = ""


def parse_addresses(text: str) -> tuple[base.Address, ...]:
    """Return the addresses in a comma-separated list.

    Raises
    ------
    ValueError
        If an item is not an address.

    Examples
    --------
    >>> parse_addresses("127.0.0.1:80, 127.0.0.1:81")
    ('127.0.0.1:80', '127.0.0.1:81')
    """
    parts = [part.strip() for part in text.split(",")]
    return tuple(base.parse_address(part) for part in parts if part)


def parse_name(text: str) -> str:
    """Return a name of letters, digits, dots, dashes and underscores.

    Raises
    ------
    ValueError
        If the text is empty or contains other characters.
    """
    if not text or not all(c.isalnum() or c in "._-" for c in text):
        raise ValueError(text)
    return text


def parse_token_file(text: str) -> str:
    """Return the path of a token file after checking its tokens.

    An empty path means that there is no file and is returned unchanged.

    Raises
    ------
    ValueError
        If the file cannot be read, contains no token, or contains a token
        of fewer than `MIN_TOKEN_LENGTH` characters.
    """
    if not text:
        return text
    try:
        with open(text, encoding="utf-8") as stream:
            tokens = stream.read().split()
    except OSError as error:
        raise ValueError(text) from error
    if not tokens or min(map(len, tokens)) < MIN_TOKEN_LENGTH:
        raise ValueError(text)
    return text


def make_int_parser(low: int, high: int) -> Callable[[str], int]:
    """Return a parser of integers in ``[low, high]``.

    The parser raises ValueError for other text.
    """

    def parse(text: str) -> int:
        value = int(text)
        if not low <= value <= high:
            raise ValueError(text)
        return value

    return parse


_ALLOWED_NAME = "a name of letters, digits, '.', '-' and '_'"
_ALLOWED_ADDRESS = "IP:PORT, port 1 to 65535"


def _make_timing_spec(
    name: str, low: int, high: int, default: int, help_: str
):
    return SettingSpec(
        section="timing",
        name=name,
        parse=make_int_parser(low, high),
        allowed=f"{low} to {high} ms",
        default=str(default),
        help=help_,
    )


SPECS: tuple[SettingSpec, ...] = (
    SettingSpec(
        section="instance",
        name="name",
        parse=parse_name,
        allowed=_ALLOWED_NAME,
        help="name of this instance, unique in the deployment",
    ),
    SettingSpec(
        section="instance",
        name="region",
        parse=parse_name,
        allowed=_ALLOWED_NAME,
        help="region in which it stands",
    ),
    SettingSpec(
        section="instance",
        name="zone",
        parse=parse_name,
        allowed=_ALLOWED_NAME,
        help="availability zone in which it stands",
    ),
    SettingSpec(
        section="listen",
        name="callers",
        parse=base.parse_address,
        allowed=_ALLOWED_ADDRESS,
        help="where callers' HTTP requests arrive",
    ),
    SettingSpec(
        section="listen",
        name="peers",
        parse=base.parse_address,
        allowed=_ALLOWED_ADDRESS,
        help="where the other instances reach this one",
    ),
    SettingSpec(
        section="listen",
        name="operators",
        parse=base.parse_address,
        allowed=_ALLOWED_ADDRESS,
        help="where metrics, health and state are served",
    ),
    SettingSpec(
        section="security",
        name="peer_keys",
        parse=str,
        allowed="a file made by 'tarragonhinge keys generate', or empty",
        default="",
        help="keys with which instances recognise each other; empty: none",
    ),
    SettingSpec(
        section="platform",
        name="table",
        parse=base.parse_address,
        allowed=_ALLOWED_ADDRESS,
        help="the platform's table service and object store",
    ),
    SettingSpec(
        section="platform",
        name="instances",
        parse=base.parse_address,
        allowed=_ALLOWED_ADDRESS,
        help="the platform's list of instances",
    ),
    SettingSpec(
        section="platform",
        name="seeds",
        parse=parse_addresses,
        allowed="addresses IP:PORT separated by commas",
        default="",
        help="peers to ask while the list of instances cannot be had",
    ),
    SettingSpec(
        section="platform",
        name="timeout_ms",
        parse=make_int_parser(10, 60_000),
        allowed="10 to 60000 ms",
        default="1000",
        help="bound on one call to the platform",
    ),
    _make_timing_spec("heartbeat_ms", 10, 10_000, 250, "period of heartbeats"),
    _make_timing_spec(
        "call_timeout_ms", 5, 10_000, 200, "bound on one heartbeat"
    ),
    _make_timing_spec("grant_ms", 50, 60_000, 1200, "how long a grant lasts"),
    _make_timing_spec(
        "lease_ms", 50, 60_000, 1000, "how long authority lasts"
    ),
    _make_timing_spec(
        "silence_ms", 50, 60_000, 900, "silence before a takeover"
    ),
    _make_timing_spec("margin_ms", 1, 10_000, 50, "allowance for clock rates"),
    _make_timing_spec(
        "outage_lease_ms",
        1000,
        3_600_000,
        30_000,
        "authority during an outage of the table service",
    ),
    SettingSpec(
        section="operators",
        name="token_file",
        parse=parse_token_file,
        allowed="a readable file with one token a line, each of "
        f"{MIN_TOKEN_LENGTH} characters or more; empty forbids edits",
        default="",
        help="tokens for the operators' address",
    ),
    SettingSpec(
        section="stop",
        name="notice_ms",
        parse=make_int_parser(0, 600_000),
        allowed="0 to 600000 ms",
        default="3000",
        help="time for the balancer to notice a leaving instance",
    ),
    SettingSpec(
        section="stop",
        name="limit_ms",
        parse=make_int_parser(100, 3_600_000),
        allowed="100 to 3600000 ms",
        default="30000",
        help="time for requests in flight after the notice",
    ),
)
