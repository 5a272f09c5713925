"""The operators' table over HTTP, on loopback."""

import asyncio

from aiohttp import test_utils
import msgspec
import pytest

from tarragonhinge import configuration
from tarragonhinge import operators
from tarragonhinge import testing

ROW = testing.make_row()
TOKEN = "a-token-of-sixteen-or-more"
BEARER = {"Authorization": f"Bearer {TOKEN}"}
MATCH = {"If-Match": '"1"', **BEARER}
JSON = {"Accept": "application/json", **BEARER}


def _run(scenario, path):
    async def run():
        site = testing.OperatorsTestbed(token_file=str(path))
        await site.fill(ROW)
        server = test_utils.TestServer(site.application)
        async with test_utils.TestClient(server) as client:
            await scenario(site, client)

    asyncio.run(run())


@pytest.fixture
def token_file(tmp_path):
    path = tmp_path / "tokens"
    path.write_text(f"an-older-token-of-some-length\n{TOKEN}\n")
    return path


def _csv(**changes):
    row = msgspec.structs.replace(ROW, **changes)
    return configuration.format_csv([row])


async def _read(response):
    body = await response.read()
    return msgspec.json.decode(body, type=operators.EditAnswer)


def test_an_export_is_applied_back_as_no_change(token_file):
    async def scenario(site, client):
        got = await client.get("/table", headers=BEARER)
        assert got.headers["ETag"] == '"1"'
        put = await client.put("/table", data=await got.read(), headers=MATCH)
        assert put.status == 200
        assert (await _read(put)).kind is operators.EditKind.UNCHANGED
        cells = await (await client.get("/table", headers=JSON)).json()
        put = await client.put(
            "/table", json={"rows": cells["rows"]}, headers=MATCH
        )
        assert (await _read(put)).kind is operators.EditKind.UNCHANGED
        same = {"If-None-Match": '"1"', **BEARER}
        assert (await client.get("/table", headers=same)).status == 304

    _run(scenario, token_file)


@pytest.mark.parametrize(
    ("headers", "body", "status", "kind"),
    [
        (MATCH, _csv(slots=3), 200, "accepted"),
        (BEARER, _csv(slots=3), 428, "wrong"),
        ({"If-Match": "*", **BEARER}, _csv(slots=3), 428, "wrong"),
        ({"If-Match": '"0"', **BEARER}, _csv(slots=3), 412, "conflict"),
        ({"If-Match": '"9"', **BEARER}, _csv(slots=3), 412, "conflict"),
        (MATCH, _csv(slots=0), 422, "wrong"),
        (MATCH, _csv(partitions=9), 422, "wrong"),
        (MATCH, "", 422, "wrong"),
        (
            {"Content-Type": "application/json", **MATCH},
            '{"rows": 1}',
            400,
            "wrong",
        ),
    ],
)
def test_an_edit_is_answered_by_what_became_of_it(
    token_file, headers, body, status, kind
):
    async def scenario(site, client):
        put = await client.put("/table", data=body, headers=headers)
        assert put.status == status
        answer = await _read(put)
        assert answer.kind.value == kind
        assert answer.message
        stored = (await site.store.load()).version
        assert stored == (2 if kind == "accepted" else 1)
        assert bool(answer.problems) == (status == 422)
        assert bool(answer.changes) == (headers.get("If-Match") == '"0"')

    _run(scenario, token_file)


def test_a_flag_a_check_and_a_rollback(token_file):
    async def scenario(site, client):
        body = _csv(partitions=9)
        check = await client.post("/table/check", data=body, headers=BEARER)
        assert check.status == 422
        diff = await client.post("/table/diff", data=body, headers=BEARER)
        assert [c.after for c in (await _read(diff)).changes] == ["9"]
        query = "?allow_stranding=1&reason=grow&who=ana"
        put = await client.put(f"/table{query}", data=body, headers=MATCH)
        assert put.status == 200
        history = await client.get("/table/history", headers=BEARER)
        assert (await history.json())["edits"][0]["note"]["who"] == "ana"
        back = await client.post(
            "/table/rollback?to=1&allow_stranding=1",
            headers={"If-Match": '"2"', **BEARER},
        )
        assert (await _read(back)).version == 3
        assert (await site.store.load()).rows == [ROW]

    _run(scenario, token_file)


@pytest.mark.parametrize("number", ["", "x", "-1", "9" * 5000, "\u0663"])
def test_a_number_that_is_none_is_refused(token_file, number):
    async def scenario(site, client):
        for method, path, status in (
            ("GET", "/table?version=", 404),
            ("GET", "/table/history?limit=", 400),
            ("POST", "/table/rollback?to=", 400),
        ):
            answer = await client.request(method, path + number, headers=MATCH)
            assert answer.status == status
        match = {"If-Match": f'"{number}"', **BEARER}
        if number.isascii():
            put = await client.put("/table", data=_csv(), headers=match)
            assert put.status == 428

    _run(scenario, token_file)


def test_in_an_outage_edits_are_refused_and_reading_goes_on(token_file):
    async def scenario(site, client):
        site.table.down = True
        put = await client.put("/table", data=_csv(slots=3), headers=MATCH)
        assert put.status == 503
        assert int(put.headers["Retry-After"]) > 0
        got = await client.get("/table", headers=JSON)
        assert (await got.json())["stored"] is False
        old = await client.get("/table?version=1", headers=JSON)
        assert old.status == 503
        seen = await client.get("/table/in-force", headers=BEARER)
        document = await seen.json()
        assert (document["in_force"], document["stored"]) == (1, None)
        assert document["everywhere"] is None

    _run(scenario, token_file)


@pytest.mark.parametrize(
    "headers",
    [
        {},
        {"Authorization": f"Basic {TOKEN}"},
        {"Authorization": "Bearer "},
        {"Authorization": f"Bearer {TOKEN}x"},
        {"Authorization": "Bearer \udcff"},
    ],
)
def test_a_wrong_token_is_refused_and_counted(token_file, headers):
    async def scenario(site, client):
        for path in ("/table", "/state", "/table/history"):
            assert (await client.get(path, headers=headers)).status == 401
        match = {"If-Match": '"1"', **headers}
        put = await client.put("/table", data=_csv(slots=3), headers=match)
        assert put.status == 401
        assert site.tokens.refused == 4
        for path in ("/healthz", "/readyz", "/metrics"):
            assert (await client.get(path)).status == 200

    _run(scenario, token_file)


def test_tokens_change_without_a_stop(token_file):
    async def scenario(site, client):
        assert (await client.get("/state", headers=BEARER)).status == 200
        token_file.write_text("another-token-of-some-length\n")
        assert (await client.get("/state", headers=BEARER)).status == 401
        token_file.unlink()
        assert (await client.get("/state", headers=BEARER)).status == 401

    _run(scenario, token_file)


def test_without_a_token_file_the_table_is_only_read():
    async def scenario(site, client):
        assert (await client.get("/table")).status == 200
        put = await client.put("/table", data=_csv(slots=3), headers=MATCH)
        assert put.status == 401

    _run(scenario, "")


def test_a_body_over_the_limit_is_refused(token_file):
    async def scenario(site, client):
        body = b"x" * (operators.TABLE_LIMIT_BYTES + 1)
        put = await client.put("/table", data=body, headers=MATCH)
        assert put.status == 413

    _run(scenario, token_file)
