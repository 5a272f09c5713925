"""Token authentication on the operators' address."""

import hmac

from aiohttp import typedefs
from aiohttp import web

#: Paths that require no token.  They are requested by the load balancer and
#: by the metrics scraper, or serve the web page, which contains no data.
OPEN_PATHS = frozenset({"/", "/healthz", "/readyz", "/metrics"})

_READ_METHODS = frozenset({"GET", "HEAD"})
_BEARER_PREFIX = "Bearer "


class TokenCheck:
    """Checks the tokens of requests against a file of accepted tokens.

    Without a file, only GET and HEAD requests are permitted.

    Parameters
    ----------
    path : str
        Path of a file with one accepted token on each line; empty for
        none.  The file is read on each check, so that tokens can be
        replaced without a restart.

    Attributes
    ----------
    refused : int
        Number of requests refused for lack of an accepted token.
    """

    def __init__(self, *, path: str = "") -> None:
        self.refused = 0
        self._path = path

    def permits(self, request: web.BaseRequest) -> bool:
        """Return whether a request is permitted; count refusals."""
        if request.path in OPEN_PATHS:
            return True
        if not self._path:
            permitted = request.method in _READ_METHODS
        else:
            permitted = self._is_accepted(request)
        if not permitted:
            self.refused += 1
        return permitted

    def _is_accepted(self, request: web.BaseRequest) -> bool:
        header = request.headers.get("Authorization", "")
        if not header.startswith(_BEARER_PREFIX):
            return False
        presented = header[len(_BEARER_PREFIX) :].encode(
            "utf-8", "surrogateescape"
        )
        # Compare all tokens, so that the response time does not reveal which
        # of them matches.
        matches = [
            hmac.compare_digest(presented, token)
            for token in self._read_tokens()
        ]
        return any(matches)

    def _read_tokens(self) -> list[bytes]:
        try:
            with open(self._path, "rb") as stream:
                lines = stream.read().split(b"\n")
        except OSError:
            return []
        return [line.strip() for line in lines if line.strip()]


def make_middleware(check: TokenCheck) -> typedefs.Middleware:
    """Return a middleware that rejects requests that `check` refuses.

    Rejected requests get a response with status 401.
    """

    @web.middleware
    async def authenticate(
        request: web.Request, handler: typedefs.Handler
    ) -> web.StreamResponse:
        if check.permits(request):
            return await handler(request)
        return web.Response(
            status=401,
            headers={"WWW-Authenticate": "Bearer"},
            text="no accepted token; send 'Authorization: Bearer TOKEN' with "
            "a token of the file that [operators] token_file names; without "
            "such a file the table can only be read\n",
        )

    return authenticate
