"""Who may read and edit on the operators' address."""

import hmac

from aiohttp import typedefs
from aiohttp import web

#: Paths that need no token: the balancer's and the scraper's, and the
#: page, which holds nothing but its script.
OPEN_PATHS = frozenset({"/", "/healthz", "/readyz", "/metrics"})

_READING = frozenset({"GET", "HEAD"})
_SCHEME = "Bearer "


class TokenCheck:
    """Compares tokens with those in a file, which may change.

    Without a file everything may be read and nothing edited.

    Parameters
    ----------
    path : str
        File with one accepted token a line; empty for none.  It is read
        at each check, so that tokens can be replaced without a stop.

    Attributes
    ----------
    refused : int
        Requests without an accepted token.
    """

    def __init__(self, *, path: str = "") -> None:
        self.refused = 0
        self._path = path

    def permits(self, request: web.BaseRequest) -> bool:
        """Return whether a request may go on, and count it if not."""
        if request.path in OPEN_PATHS:
            return True
        if not self._path:
            permitted = request.method in _READING
        else:
            permitted = self._is_accepted(request)
        if not permitted:
            self.refused += 1
        return permitted

    def _is_accepted(self, request: web.BaseRequest) -> bool:
        header = request.headers.get("Authorization", "")
        if not header.startswith(_SCHEME):
            return False
        given = header[len(_SCHEME) :].encode("utf-8", "surrogateescape")
        # No early end: the time must not tell which token is near.
        matches = [
            hmac.compare_digest(given, token) for token in self._read_tokens()
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
    """Return a middleware that refuses what `check` does not permit."""

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
