"""Web page on which operators view and edit the table."""

import base64
import hashlib
import importlib.resources
import re

from aiohttp import web

_PAGE_FILE = "page.html"


def read_page() -> str:
    """Return the HTML of the page, which is the same for all users."""
    package = importlib.resources.files("tarragonhinge.operators")
    return package.joinpath(_PAGE_FILE).read_text(encoding="utf-8")


def make_content_security_policy(page: str) -> str:
    """Return the content security policy of the page.

    Only the inline script and style of the page itself are allowed, by
    their hashes, so that a script injected through the content of a cell
    is not run.
    """
    script = _hash_elements(page, "script")
    style = _hash_elements(page, "style")
    return (
        f"default-src 'none'; script-src {script}; style-src {style}; "
        "connect-src 'self'; base-uri 'none'; form-action 'none'; "
        "frame-ancestors 'none'"
    )


def _hash_elements(page: str, element: str) -> str:
    contents = re.findall(rf"<{element}>(.*?)</{element}>", page, re.DOTALL)
    hashes = [
        hashlib.sha256(content.encode()).digest() for content in contents
    ]
    return " ".join(f"'sha256-{base64.b64encode(h).decode()}'" for h in hashes)


def add_page(router: web.UrlDispatcher) -> None:
    """Serve the page at ``/``."""
    page = read_page()
    headers = {
        "Content-Security-Policy": make_content_security_policy(page),
        "X-Content-Type-Options": "nosniff",
        "Referrer-Policy": "no-referrer",
        "Cache-Control": "no-store",
    }

    async def show_page(request: web.Request) -> web.Response:
        return web.Response(
            text=page, content_type="text/html", headers=headers
        )

    router.add_get("/", show_page)
