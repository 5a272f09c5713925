"""Operators' page: content security policy and absence of injection."""

import asyncio
import re

from aiohttp import test_utils
import pytest

from tarragonhinge.operators import _page
from tarragonhinge import testing


def _get_page():
    async def run():
        testbed = testing.OperatorsTestbed()
        server = test_utils.TestServer(testbed.application)
        async with test_utils.TestClient(server) as client:
            response = await client.get("/")
            return response.status, response.headers, await response.text()

    return asyncio.run(run())


def test_policy_allows_only_inline_parts_of_page():
    status, headers, text = _get_page()
    assert status == 200
    assert text == _page.read_page()
    policy = headers["Content-Security-Policy"]
    assert policy == _page.make_content_security_policy(text)
    assert "unsafe" not in policy
    assert policy.count("'sha256-") == 2
    changed = text.replace('"use strict"', '"use strict";alert(1)')
    assert _page.make_content_security_policy(changed) != policy


@pytest.mark.parametrize(
    "sink",
    [
        r"innerHTML",
        r"outerHTML",
        r"insertAdjacentHTML",
        r"document\.write",
        r"\beval\b",
        r"new Function",
        r"srcdoc",
        r"\son[a-z]+=",
        r"\.(href|src)\s*=",
        r"https?://",
    ],
)
def test_page_has_no_markup_sink(sink):
    assert not re.search(sink, _page.read_page())


def test_every_element_used_by_script_exists():
    page = _page.read_page()
    used = set(re.findall(r'(?:find|fillTable)\(\s*"(\w+)"', page))
    assert len(used) > 10
    assert used <= set(re.findall(r'id="(\w+)"', page))
