"""Connection to a backend server over HTTP."""

import aiohttp
import msgspec

from tarragonhinge import base
from tarragonhinge.servers import _client
from tarragonhinge.servers import _fields
from tarragonhinge.servers import _messages

#: Fields that the client library adds to requests that lack them.
AUTO_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")

STATUS_SHED = (429, 503)


class HttpServerClient(_client.ServerClient):
    """Client of one backend server.

    Parameters
    ----------
    address : Address
        Where the server listens.
    connection_limit : int
        Connections that this instance may hold to the server.
    """

    def __init__(
        self, *, address: base.Address, connection_limit: int
    ) -> None:
        self._url = f"http://{address}"
        self._limit = connection_limit
        self._session: aiohttp.ClientSession | None = None
        self._decoder = msgspec.json.Decoder(_messages.GrantReply)

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=self._limit)
            self._session = aiohttp.ClientSession(
                connector=connector,
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
                skip_auto_headers=AUTO_HEADERS,
            )
            # The library would send a PUT or DELETE again by itself when
            # a kept connection turns out to be closed.
            self._session._retry_connection = False
        return self._session

    async def send_grants(
        self, request: _messages.GrantRequest, *, timeout_ms: int
    ) -> _messages.GrantReply | None:
        """Send a batched heartbeat; None if no answer came."""
        try:
            async with self._open().post(
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
        """Send a request and return its tagged outcome."""
        try:
            async with self._open().request(
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
        """Release connections."""
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
        for name, value in _fields.drop_hop_by_hop_fields(request.headers)
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
        if answer.status in STATUS_SHED:
            return base.NotRun(reason=base.NotRunReason.SERVER_SHED)
        return base.NotRun(reason=base.NotRunReason.FENCED)
    received = [
        (str(name), value)
        for name, value in answer.headers.items()
        if not name.lower().startswith("tarragonhinge-")
    ]
    fields = _fields.drop_hop_by_hop_fields(received)
    return base.Answered(
        status=answer.status, headers=tuple(fields), body=body
    )
