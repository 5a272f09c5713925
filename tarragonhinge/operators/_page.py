"""The page on which operators view and edit the table in a browser."""

import base64
import hashlib
import importlib.resources
import re

from aiohttp import web

_FILE = "page.html"


def read_page() -> str:
    """Return the page, which is the same for everybody."""
    package = importlib.resources.files("tarragonhinge.operators")
    return package.joinpath(_FILE).read_text(encoding="utf-8")


def make_policy(page: str) -> str:
    """Return a content security policy for the page's own parts only.

    Should the content of a cell ever become markup, its scripts are not
    run.
    """
    script = _hash_part(page, "script")
    style = _hash_part(page, "style")
    return (
        f"default-src 'none'; script-src {script}; style-src {style}; "
        "connect-src 'self'; base-uri 'none'; form-action 'none'; "
        "frame-ancestors 'none'"
    )


def _hash_part(page: str, element: str) -> str:
    parts = re.findall(rf"<{element}>(.*?)</{element}>", page, re.DOTALL)
    hashes = [hashlib.sha256(part.encode()).digest() for part in parts]
    return " ".join(f"'sha256-{base64.b64encode(h).decode()}'" for h in hashes)


def add_page(router: web.UrlDispatcher) -> None:
    """Serve the page at ``/``."""
    page = read_page()
    headers = {
        "Content-Security-Policy": make_policy(page),
        "X-Content-Type-Options": "nosniff",
        "Referrer-Policy": "no-referrer",
        "Cache-Control": "no-store",
    }

    async def show_page(request: web.Request) -> web.Response:
        return web.Response(
            text=page, content_type="text/html", headers=headers
        )

    router.add_get("/", show_page)
