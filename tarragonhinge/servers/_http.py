"""HTTP client of a backend server."""

import aiohttp
import msgspec

from tarragonhinge import base
from tarragonhinge.servers import _client
from tarragonhinge.servers import _hop_by_hop
from tarragonhinge.servers import _messages

#: Header fields that the client library would otherwise add to requests
#: that lack them.
SKIPPED_AUTO_HEADERS = (
    "Accept",
    "Accept-Encoding",
    "Content-Type",
    "User-Agent",
)

#: HTTP statuses of a refusal by which a server sheds load.
SHED_STATUSES = (429, 503)


class HttpServerClient(_client.ServerClient):
    """HTTP client of one backend server.

    Parameters
    ----------
    address : Address
        Address of the server.
    connection_limit : int
        Maximum number of connections from this instance to the server.
    """

    def __init__(
        self, *, address: base.Address, connection_limit: int
    ) -> None:
        self._url = f"http://{address}"
        self._connection_limit = connection_limit
        self._session: aiohttp.ClientSession | None = None
        self._decoder = msgspec.json.Decoder(_messages.GrantReply)

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=self._connection_limit)
            self._session = aiohttp.ClientSession(
                connector=connector,
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
                skip_auto_headers=SKIPPED_AUTO_HEADERS,
            )
            # By default, the library resends a PUT or DELETE by itself if
            # it finds a persistent connection closed.
            self._session._retry_connection = False
        return self._session

    async def send_grants(
        self, request: _messages.GrantRequest, *, timeout_ms: int
    ) -> _messages.GrantReply | None:
        """Send a batched heartbeat; return None without a valid reply."""
        try:
            async with self._get_session().post(
                self._url + _messages.GRANT_PATH,
                data=msgspec.json.encode(request),
                timeout=_make_timeout(timeout_ms),
            ) as answer:
                if answer.status != 200:
                    return None
                return self._decoder.decode(await answer.read())
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
            return None
        except OSError:
            return None

    async def dispatch(
        self, request: _messages.ServerRequest, *, timeout_ms: int
    ) -> base.Outcome:
        """Send a request and return its outcome."""
        try:
            async with self._get_session().request(
                request.method,
                self._url + request.path,
                data=request.body or None,
                headers=_make_headers(request),
                timeout=_make_timeout(timeout_ms),
                allow_redirects=False,
            ) as answer:
                return await _read_answer(answer)
        except aiohttp.ClientConnectorError:
            return base.NotRun(reason=base.NotRunReason.SERVER_UNREACHABLE)
        except aiohttp.ConnectionTimeoutError:
            return base.NotRun(reason=base.NotRunReason.SERVER_UNREACHABLE)
        except TimeoutError:
            return base.Unknown(reason=base.UnknownReason.TIMEOUT)
        except aiohttp.ClientPayloadError:
            return base.Unknown(reason=base.UnknownReason.ANSWER_CUT)
        except (aiohttp.ClientError, OSError):
            return base.Unknown(reason=base.UnknownReason.ANSWER_LOST)

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()


def _make_timeout(timeout_ms: int) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(total=max(1, timeout_ms) / base.MS_PER_S)


def _make_headers(
    request: _messages.ServerRequest,
) -> list[tuple[str, str]]:
    fence = request.fence
    fields = [
        (name, value)
        for name, value in _hop_by_hop.drop_hop_by_hop_fields(request.headers)
        if not name.lower().startswith("tarragonhinge-")
        and name.lower() != _messages.HEADER_IDEMPOTENCY_KEY.lower()
    ]
    fields += [
        (_messages.HEADER_SHARD, fence.shard),
        (_messages.HEADER_PARTITION, str(fence.partition)),
        (_messages.HEADER_TERM, str(fence.term)),
        (_messages.HEADER_EPOCH, str(fence.epoch)),
        (_messages.HEADER_DEADLINE_MS, str(request.deadline_ms)),
    ]
    if request.idempotency_key:
        key = request.idempotency_key
        fields.append((_messages.HEADER_IDEMPOTENCY_KEY, key))
    return fields


async def _read_answer(answer: aiohttp.ClientResponse) -> base.Outcome:
    body = await answer.read()
    refusal = answer.headers.get(_messages.HEADER_NOT_RUN)
    if refusal is not None:
        if answer.status in SHED_STATUSES:
            return base.NotRun(reason=base.NotRunReason.SERVER_SHED)
        return base.NotRun(reason=base.NotRunReason.FENCED)
    received = [
        (str(name), value)
        for name, value in answer.headers.items()
        if not name.lower().startswith("tarragonhinge-")
    ]
    fields = _hop_by_hop.drop_hop_by_hop_fields(received)
    return base.Answered(
        status=answer.status, headers=tuple(fields), body=body
    )
