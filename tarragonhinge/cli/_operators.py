"""HTTP client of an instance's operators' address."""

from collections.abc import Mapping
import dataclasses

import aiohttp

from tarragonhinge import base
from tarragonhinge.cli import _errors

#: Timeout of a request.  It exceeds the time that an instance takes to
#: resolve a lost response of the store.
REQUEST_TIMEOUT_S = 20

_REMEDY = (
    "pass the address from the entry 'operators' of the instance's settings"
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OperatorsResponse:
    """HTTP response of an instance on its operators' address."""

    status: int
    etag: str
    body: bytes


class OperatorsClient:
    """Client of one instance's operators' address.

    Parameters
    ----------
    address : str
        Operators' address of the instance, as ``IP:PORT``.
    token_file : str
        Path of a file whose first line is the token; empty to send no token.
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
    ) -> OperatorsResponse:
        """Send a request and return the response, whatever its status.

        Raises
        ------
        CallError
            If the request could not be sent, or the token was rejected.
        OutageError
            If the response was lost.
        """
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method,
                    f"http://{self._address}{path}",
                    params=query or {},
                    data=body,
                    headers={**self._headers, **(headers or {})},
                ) as http_response,
            ):
                response = OperatorsResponse(
                    status=http_response.status,
                    etag=http_response.headers.get("ETag", ""),
                    body=await http_response.read(),
                )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.InvalidURL,
            ValueError,
        ) as error:
            raise _errors.CallError(
                problem=f"{self._address!r} is unreachable: {error}",
                remedy=_REMEDY,
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise _errors.OutageError(
                problem=f"the response of {self._address!r} was lost: "
                f"{error!r}",
                remedy="repeat the command; for an edit, with the same "
                "--edit-id",
            ) from error
        if response.status == 401:
            raise _errors.CallError(
                problem=f"{self._address!r} rejected the token",
                remedy="pass --token-file=PATH with a token from the file "
                "that [operators] token_file of its settings names",
            )
        return response


def _make_headers(token_file: str) -> dict[str, str]:
    if not token_file:
        return {}
    try:
        with open(token_file, encoding="utf-8") as stream:
            tokens = stream.read().split()
    except (OSError, UnicodeDecodeError) as error:
        raise _errors.CallError(
            problem=f"token_file={token_file!r} cannot be read: {error}",
            remedy="pass a readable file with the token in its first line",
        ) from error
    if not tokens:
        raise _errors.CallError(
            problem=f"token_file={token_file!r} is empty",
            remedy="write the token to its first line",
        )
    return {"Authorization": f"Bearer {tokens[0]}"}


async def fetch_state(address: str, token_file: str = "") -> str:
    """Return the state dump of an instance, as JSON.

    Raises
    ------
    CommandError
        If the instance does not return its state.
    """
    client = OperatorsClient(address=address, token_file=token_file)
    response = await client.call("GET", "/state")
    if response.status != 200:
        raise _errors.CallError(
            problem=f"no state from {address!r}: status {response.status}",
            remedy=_REMEDY,
        )
    return response.body.decode()


def parse_version(name: str, value: object) -> base.TableVersion:
    """Return the argument of the flag `name` as a version of the table.

    Raises
    ------
    ParameterError
        If `value` is not a decimal number.
    """
    if not str(value).isdecimal():
        raise base.ParameterError(
            problem=f"--{name}={value!r} is not a version",
            remedy="pass a number that 'tarragonhinge table history' lists",
        )
    return base.TableVersion(int(str(value)))
