"""CURVE keys (ZeroMQ RFC 26) that authenticate instances to each other."""

import dataclasses

import zmq
import zmq.utils.z85

from tarragonhinge import base

#: Length of a key in Z85 encoding (ZeroMQ RFC 32).
KEY_LENGTH_CHARACTERS = 40


class KeyFileError(base.TarragonhingeError):
    """A key file cannot be used."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeyPair:
    """CURVE key pair in Z85 encoding.

    Parameters
    ----------
    public : bytes
        Public key.
    secret : bytes
        Secret key.
    """

    public: bytes
    secret: bytes = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerKeys:
    """Key pairs of a deployment; the first is in use, all are accepted.

    Keys are rotated in three rolling restarts: add the new pair after
    the old one, then move it to the front, then remove the old one.

    Parameters
    ----------
    pairs : tuple of KeyPair
        Key pairs, at least one.
    """

    pairs: tuple[KeyPair, ...]

    def accepts(self, public: bytes) -> bool:
        """Return whether a public key belongs to the deployment."""
        return any(pair.public == public for pair in self.pairs)


def make_key_pair() -> KeyPair:
    """Return a new key pair."""
    public, secret = zmq.curve_keypair()
    return KeyPair(public=public, secret=secret)


def format_keys(keys: PeerKeys) -> str:
    """Return the content of a key file."""
    lines = ["# public and secret key of each pair; the first is in use"]
    for pair in keys.pairs:
        lines.append(f"{pair.public.decode()} {pair.secret.decode()}")
    return "\n".join(lines) + "\n"


def load_keys(path: str) -> PeerKeys:
    """Return the keys of a key file.

    Raises
    ------
    KeyFileError
        If the file cannot be read, has no key pair or has a line that is
        not a key pair.
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
            problem=f"key file {path!r} contains no key",
            remedy="make one with 'tarragonhinge keys generate'",
        )
    return PeerKeys(pairs=tuple(pairs))


def _parse_pair(path: str, number: int, line: str) -> KeyPair:
    parts = line.encode().split()
    try:
        if len(parts) != 2 or any(
            len(p) != KEY_LENGTH_CHARACTERS for p in parts
        ):
            raise ValueError("expected two keys of 40 characters")
        for part in parts:
            zmq.utils.z85.decode(part)
        if zmq.curve_public(parts[1]) != parts[0]:
            raise ValueError("the two keys do not belong together")
    except (ValueError, KeyError) as error:
        raise KeyFileError(
            problem=f"key file {path!r}, line {number}: {error}",
            remedy="copy the whole line, or generate a new pair",
        ) from error
    return KeyPair(public=parts[0], secret=parts[1])
