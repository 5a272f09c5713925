"""Keys with which instances recognise each other (CURVE, RFC 26/ZMTP)."""

import dataclasses

import zmq
import zmq.utils.z85

from tarragonhinge import base

#: Length of a key in Z85 text (ZeroMQ RFC 32).
KEY_LENGTH = 40


class KeyFileError(base.TarragonhingeError):
    """A file of keys cannot be used."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeyPair:
    """A CURVE key pair in Z85 text.

    Parameters
    ----------
    public, secret : bytes
        The two keys.
    """

    public: bytes
    secret: bytes = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerKeys:
    """Key pairs of a deployment; the first is in use, all are accepted.

    Keys are rotated by three rolling restarts: add the new pair behind
    the old one, then put it in front, then drop the old one.

    Parameters
    ----------
    pairs : tuple of KeyPair
        At least one.
    """

    pairs: tuple[KeyPair, ...]

    def accepts(self, public: bytes) -> bool:
        """Return whether a public key is one of the deployment's."""
        return any(pair.public == public for pair in self.pairs)


def make_key_pair() -> KeyPair:
    """Return a fresh key pair."""
    public, secret = zmq.curve_keypair()
    return KeyPair(public=public, secret=secret)


def format_keys(keys: PeerKeys) -> str:
    """Return the content of a file of keys."""
    lines = ["# public and secret key of each pair; the first is in use"]
    for pair in keys.pairs:
        lines.append(f"{pair.public.decode()} {pair.secret.decode()}")
    return "\n".join(lines) + "\n"


def load_keys(path: str) -> PeerKeys:
    """Return the keys in a file.

    Raises
    ------
    KeyFileError
        If the file cannot be read or a line is not a key pair.
    """
    try:
        with open(path, encoding="ascii") as stream:
            lines = stream.read().splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise KeyFileError(
            problem=f"key file {path!r} cannot be read: {error}",
            remedy="make one with 'tarragonhinge keys generate'",
        ) from error
    pairs = [
        _parse_pair(path, number, line)
        for number, line in enumerate(lines, start=1)
        if line.strip() and not line.startswith("#")
    ]
    if not pairs:
        raise KeyFileError(
            problem=f"key file {path!r} holds no key",
            remedy="make one with 'tarragonhinge keys generate'",
        )
    return PeerKeys(pairs=tuple(pairs))


def _parse_pair(path: str, number: int, line: str) -> KeyPair:
    parts = line.encode().split()
    try:
        if len(parts) != 2 or any(len(p) != KEY_LENGTH for p in parts):
            raise ValueError("two keys of 40 characters are needed")
        for part in parts:
            zmq.utils.z85.decode(part)
        if zmq.curve_public(parts[1]) != parts[0]:
            raise ValueError("the two keys do not belong together")
    except (ValueError, KeyError) as error:
        raise KeyFileError(
            problem=f"key file {path!r}, line {number}: {error}",
            remedy="copy the line whole, or make a new pair",
        ) from error
    return KeyPair(public=parts[0], secret=parts[1])
