"""The operators' page: served whole, and safe from what cells hold."""

import asyncio
import re

from aiohttp import test_utils
import pytest

from tarragonhinge.operators import _page
from tarragonhinge import testing


def _get_page():
    async def run():
        site = testing.OperatorsTestbed()
        server = test_utils.TestServer(site.application)
        async with test_utils.TestClient(server) as client:
            answer = await client.get("/")
            return answer.status, answer.headers, await answer.text()

    return asyncio.run(run())


def test_the_policy_allows_nothing_but_the_page_s_own_parts():
    status, headers, text = _get_page()
    assert status == 200
    assert text == _page.read_page()
    policy = headers["Content-Security-Policy"]
    assert policy == _page.make_policy(text)
    assert "unsafe" not in policy
    assert policy.count("'sha256-") == 2
    changed = text.replace('"use strict"', '"use strict";alert(1)')
    assert _page.make_policy(changed) != policy


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
def test_no_cell_can_become_markup(sink):
    assert not re.search(sink, _page.read_page())


def test_every_element_that_the_script_looks_up_is_there():
    page = _page.read_page()
    named = set(re.findall(r'(?:find|fillTable)\(\s*"(\w+)"', page))
    assert len(named) > 10
    assert named <= set(re.findall(r'id="(\w+)"', page))
