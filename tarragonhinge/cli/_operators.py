"""Calls of the command line to an instance's operators' address."""

from collections.abc import Mapping
import dataclasses

import aiohttp

from tarragonhinge import base
from tarragonhinge.cli import _errors

#: Longer than an instance waits for a lost answer of the store.
TIMEOUT_S = 20

_REMEDY = (
    "give the address in the entry 'operators' of the instance's settings"
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """An instance's answer."""

    status: int
    etag: str
    body: bytes


class OperatorsClient:
    """Client of one instance's operators' address.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    token_file : str
        File whose first line is the token; empty for none.
    """

    def __init__(self, *, address: str, token_file: str = "") -> None:
        self._address = address
        self._headers = _make_headers(token_file)

    async def call(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        query: Mapping[str, str] | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> Reply:
        """Return the instance's answer, whatever its status.

        Raises
        ------
        CallError
            If nothing was sent, or the token was refused.
        OutageError
            If the answer was lost.
        """
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method,
                    f"http://{self._address}{path}",
                    params=query or {},
                    data=body,
                    headers={**self._headers, **(headers or {})},
                ) as answer,
            ):
                reply = Reply(
                    status=answer.status,
                    etag=answer.headers.get("ETag", ""),
                    body=await answer.read(),
                )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.InvalidURL,
            ValueError,
        ) as error:
            raise _errors.CallError(
                problem=f"{self._address!r} is out of reach: {error}",
                remedy=_REMEDY,
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise _errors.OutageError(
                problem=f"the answer of {self._address!r} was lost: {error!r}",
                remedy="repeat the command; an edit with its --edit-id",
            ) from error
        if reply.status == 401:
            raise _errors.CallError(
                problem=f"{self._address!r} refused the token",
                remedy="give --token-file=PATH with a token of the file that "
                "[operators] token_file of its settings names",
            )
        return reply


def _make_headers(token_file: str) -> dict[str, str]:
    if not token_file:
        return {}
    try:
        with open(token_file, encoding="utf-8") as stream:
            tokens = stream.read().split()
    except (OSError, UnicodeDecodeError) as error:
        raise _errors.CallError(
            problem=f"token_file={token_file!r}: {error}",
            remedy="give a readable file with the token in its first line",
        ) from error
    if not tokens:
        raise _errors.CallError(
            problem=f"token_file={token_file!r} is empty",
            remedy="write the token into its first line",
        )
    return {"Authorization": f"Bearer {tokens[0]}"}


async def fetch_state(address: str, token_file: str = "") -> str:
    """Return the state dump of an instance, as JSON.

    Raises
    ------
    CommandError
        If the instance gives none.
    """
    client = OperatorsClient(address=address, token_file=token_file)
    reply = await client.call("GET", "/state")
    if reply.status != 200:
        raise _errors.CallError(
            problem=f"no state from {address!r}: status {reply.status}",
            remedy=_REMEDY,
        )
    return reply.body.decode()


def parse_version(name: str, value: object) -> base.TableVersion:
    """Return a version from an argument.

    Raises
    ------
    ParameterError
        If it is none.
    """
    if not str(value).isdecimal():
        raise base.ParameterError(
            problem=f"--{name}={value!r} is no version",
            remedy="give a number that 'tarragonhinge table history' lists",
        )
    return base.TableVersion(int(str(value)))
