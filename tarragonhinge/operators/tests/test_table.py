"""HTTP interface of the operators' table, on loopback."""

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
        testbed = testing.OperatorsTestbed(token_file=str(path))
        await testbed.fill(ROW)
        server = test_utils.TestServer(testbed.application)
        async with test_utils.TestClient(server) as client:
            await scenario(testbed, client)

    asyncio.run(run())


@pytest.fixture
def token_file(tmp_path):
    path = tmp_path / "tokens"
    path.write_text(f"an-older-token-of-some-length\n{TOKEN}\n")
    return path


def _csv(**changes):
    row = msgspec.structs.replace(ROW, **changes)
    return configuration.format_csv([row])


async def _read_edit_response(response):
    body = await response.read()
    return msgspec.json.decode(body, type=operators.EditResponse)


def test_applying_an_export_changes_nothing(token_file):
    async def scenario(testbed, client):
        current = await client.get("/table", headers=BEARER)
        assert current.headers["ETag"] == '"1"'
        response = await client.put(
            "/table", data=await current.read(), headers=MATCH
        )
        assert response.status == 200
        assert (
            await _read_edit_response(response)
        ).kind is operators.EditKind.UNCHANGED
        cells = await (await client.get("/table", headers=JSON)).json()
        response = await client.put(
            "/table", json={"rows": cells["rows"]}, headers=MATCH
        )
        assert (
            await _read_edit_response(response)
        ).kind is operators.EditKind.UNCHANGED
        if_none_match = {"If-None-Match": '"1"', **BEARER}
        assert (
            await client.get("/table", headers=if_none_match)
        ).status == 304

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
def test_response_to_edit_reports_its_result(
    token_file, headers, body, status, kind
):
    async def scenario(testbed, client):
        response = await client.put("/table", data=body, headers=headers)
        assert response.status == status
        edit_response = await _read_edit_response(response)
        assert edit_response.kind.value == kind
        assert edit_response.message
        stored = (await testbed.store.load()).version
        assert stored == (2 if kind == "accepted" else 1)
        assert bool(edit_response.problems) == (status == 422)
        assert bool(edit_response.changes) == (
            headers.get("If-Match") == '"0"'
        )

    _run(scenario, token_file)


def test_edit_with_flag_is_checked_stored_and_rolled_back(token_file):
    async def scenario(testbed, client):
        body = _csv(partitions=9)
        check = await client.post("/table/check", data=body, headers=BEARER)
        assert check.status == 422
        diff = await client.post("/table/diff", data=body, headers=BEARER)
        assert [
            c.after for c in (await _read_edit_response(diff)).changes
        ] == ["9"]
        query = "?allow_stranding=1&reason=grow&who=ana"
        response = await client.put(f"/table{query}", data=body, headers=MATCH)
        assert response.status == 200
        history = await client.get("/table/history", headers=BEARER)
        assert (await history.json())["edits"][0]["note"]["who"] == "ana"
        rollback = await client.post(
            "/table/rollback?to=1&allow_stranding=1",
            headers={"If-Match": '"2"', **BEARER},
        )
        assert (await _read_edit_response(rollback)).version == 3
        assert (await testbed.store.load()).rows == [ROW]

    _run(scenario, token_file)


@pytest.mark.parametrize("number", ["", "x", "-1", "9" * 5000, "\u0663"])
def test_invalid_number_is_rejected(token_file, number):
    async def scenario(testbed, client):
        for method, path, status in (
            ("GET", "/table?version=", 404),
            ("GET", "/table/history?limit=", 400),
            ("POST", "/table/rollback?to=", 400),
        ):
            response = await client.request(
                method, path + number, headers=MATCH
            )
            assert response.status == status
        match = {"If-Match": f'"{number}"', **BEARER}
        if number.isascii():
            put = await client.put("/table", data=_csv(), headers=match)
            assert put.status == 428

    _run(scenario, token_file)


def test_in_outage_edits_are_refused_and_reads_continue(token_file):
    async def scenario(testbed, client):
        testbed.table.down = True
        response = await client.put(
            "/table", data=_csv(slots=3), headers=MATCH
        )
        assert response.status == 503
        assert int(response.headers["Retry-After"]) > 0
        current = await client.get("/table", headers=JSON)
        assert (await current.json())["stored"] is False
        old = await client.get("/table?version=1", headers=JSON)
        assert old.status == 503
        in_force = await client.get("/table/in-force", headers=BEARER)
        document = await in_force.json()
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
def test_invalid_token_is_refused_and_counted(token_file, headers):
    async def scenario(testbed, client):
        for path in ("/table", "/state", "/table/history"):
            assert (await client.get(path, headers=headers)).status == 401
        match = {"If-Match": '"1"', **headers}
        response = await client.put(
            "/table", data=_csv(slots=3), headers=match
        )
        assert response.status == 401
        assert testbed.tokens.refused == 4
        for path in ("/healthz", "/readyz", "/metrics"):
            assert (await client.get(path)).status == 200

    _run(scenario, token_file)


def test_tokens_are_replaced_without_restart(token_file):
    async def scenario(testbed, client):
        assert (await client.get("/state", headers=BEARER)).status == 200
        token_file.write_text("another-token-of-some-length\n")
        assert (await client.get("/state", headers=BEARER)).status == 401
        token_file.unlink()
        assert (await client.get("/state", headers=BEARER)).status == 401

    _run(scenario, token_file)


def test_without_token_file_table_is_read_only():
    async def scenario(testbed, client):
        assert (await client.get("/table")).status == 200
        response = await client.put(
            "/table", data=_csv(slots=3), headers=MATCH
        )
        assert response.status == 401

    _run(scenario, "")


def test_body_over_size_limit_is_refused(token_file):
    async def scenario(testbed, client):
        body = b"x" * (operators.MAX_TABLE_BYTES + 1)
        response = await client.put("/table", data=body, headers=MATCH)
        assert response.status == 413

    _run(scenario, token_file)
