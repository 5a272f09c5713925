"""HTTP handlers of the operators' table."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import re

from aiohttp import typedefs
from aiohttp import web
import msgspec

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge.operators import _edit_responses
from tarragonhinge.operators import _messages
from tarragonhinge import propagation
from tarragonhinge import stores

#: Maximum number of edits in a response to ``/table/history``.
MAX_HISTORY_EDITS = 1000

#: Returns the version in force on all instances, as reported by a poller.
FleetFetcher = Callable[[], Awaitable[propagation.FleetVersion | None]]

_CSV_TYPE = "text/csv"
_JSON_TYPE = "application/json"

_STATUS_BY_ERROR = {
    configuration.TableError: 422,
    configuration.EditIdReused: 409,
    configuration.VersionUnknown: 404,
    base.ParameterError: 400,
}


class TableApi:
    """Handlers of the paths under ``/table``.

    Parameters
    ----------
    editor : TableEditor
        Checks and stores edits.
    view : TableView
        Version in force on this instance.
    fetch_fleet : callable or None
        Coroutine function that returns the `FleetVersion`, or None if
        no poller responds.
    """

    def __init__(
        self,
        *,
        editor: configuration.TableEditor,
        view: configuration.TableView,
        fetch_fleet: FleetFetcher | None = None,
    ) -> None:
        self._editor = editor
        self._fetch_fleet = fetch_fleet
        self._view = view

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the handlers to a router."""
        router.add_get("/table", self.show)
        router.add_put("/table", _handle_errors(self.replace))
        router.add_post("/table/check", _handle_errors(self.check))
        router.add_post("/table/diff", _handle_errors(self.compare))
        router.add_post("/table/rollback", _handle_errors(self.roll_back))
        router.add_get("/table/history", self.show_history)
        router.add_get("/table/in-force", self.show_in_force)

    # Reading -------------------------------------------------------------

    async def show(self, request: web.Request) -> web.Response:
        """Return the stored table, or the one in force during an outage."""
        version = request.query.get("version")
        table = await self._load_table(version)
        if table is None:
            return web.Response(status=404, text="no such version\n")
        if version is not None and isinstance(table, stores.Unavailable):
            return _make_unavailable_response()
        stored = not isinstance(table, stores.Unavailable)
        if isinstance(table, stores.Unavailable):
            table = self._view.current
        etag = _edit_responses.make_etag(table.version)
        headers = {"ETag": etag, "Vary": "Accept"}
        if request.headers.get("If-None-Match") == etag:
            return web.Response(status=304, headers=headers)
        if _JSON_TYPE not in request.headers.get("Accept", ""):
            text = configuration.format_csv(table.rows)
            return web.Response(
                text=text, content_type=_CSV_TYPE, headers=headers
            )
        document = _messages.TableDocument(
            version=table.version,
            stored=stored,
            columns=configuration.COLUMN_NAMES,
            rows=[configuration.format_row(row) for row in table.rows],
        )
        return _edit_responses.make_json_response(document, headers=headers)

    async def _load_table(
        self, version: str | None
    ) -> configuration.OperatorsTable | None | stores.Unavailable:
        store = self._editor.store
        if version is None:
            return await store.load()
        number = _parse_number(version)
        if number is None:
            return None
        record = await store.load_version(base.TableVersion(number))
        if isinstance(record, configuration.VersionRecord):
            return record.make_table()
        return record

    async def show_history(self, request: web.Request) -> web.Response:
        """Return the latest accepted edits, newest first."""
        text = request.query.get("limit", "100")
        limit = _parse_number(text) or 0
        if not 1 <= limit <= MAX_HISTORY_EDITS:
            return web.Response(
                status=400,
                text=f"limit={text!r} is wrong; "
                f"give 1 to {MAX_HISTORY_EDITS}\n",
            )
        edits = await self._editor.store.load_history(limit=limit)
        if isinstance(edits, stores.Unavailable):
            return _make_unavailable_response()
        return _edit_responses.make_json_response(
            _messages.HistoryDocument(edits=edits)
        )

    async def show_in_force(self, request: web.Request) -> web.Response:
        """Return the stored version and the versions in force."""
        head = await self._editor.store.load_head()
        stored = None
        if not isinstance(head, stores.Unavailable):
            stored = head.latest.version if head else base.TableVersion(0)
        fleet = await self._fetch_fleet() if self._fetch_fleet else None
        document = _messages.InForceDocument(
            in_force=self._view.current.version, stored=stored
        )
        if fleet is not None:
            document = msgspec.structs.replace(
                document,
                everywhere=fleet.version,
                instances=fleet.instances,
                lagging=fleet.lagging,
                silent=fleet.silent,
            )
        return _edit_responses.make_json_response(document)

    # Editing -------------------------------------------------------------

    async def replace(self, request: web.Request) -> web.Response:
        """Store the table in the body as the next version."""
        expected = _read_expected_version(request)
        if expected is None:
            return _make_version_required_response()
        rows = await _read_rows(request)
        note = _read_note(request.query)
        result = await self._editor.apply(
            rows,
            expected=expected,
            note=note,
            flags=_read_flags(request.query),
        )
        return _edit_responses.make_result_response(result, note.edit_id)

    async def roll_back(self, request: web.Request) -> web.Response:
        """Store the content of an earlier version as the next one."""
        expected = _read_expected_version(request)
        if expected is None:
            return _make_version_required_response()
        text = request.query.get("to", "")
        number = _parse_number(text)
        if number is None:
            raise base.ParameterError(
                problem=f"to={text!r} is not a version number",
                remedy="give a version that /table/history lists",
            )
        note = _read_note(request.query)
        result = await self._editor.rollback(
            base.TableVersion(number),
            expected=expected,
            note=note,
            flags=_read_flags(request.query),
        )
        return _edit_responses.make_result_response(result, note.edit_id)

    async def check(self, request: web.Request) -> web.Response:
        """Check the table in the body as an edit without storing it."""
        rows = await _read_rows(request)
        flags = _read_flags(request.query)
        version = await self._editor.check(rows, flags=flags)
        if isinstance(version, stores.Unavailable):
            return _make_unavailable_response()
        return await self._make_comparison_response(rows)

    async def compare(self, request: web.Request) -> web.Response:
        """Return the differences between the stored table and the body."""
        return await self._make_comparison_response(await _read_rows(request))

    async def _make_comparison_response(
        self, rows: list[configuration.ServiceRow]
    ) -> web.Response:
        current = await self._editor.store.load()
        if isinstance(current, stores.Unavailable):
            return _make_unavailable_response()
        edit_response = _messages.EditResponse(
            kind=_messages.EditKind.CHECKED,
            message=f"compared with version {current.version}",
            version=current.version,
            changes=list(configuration.diff_rows(current.rows, rows)),
        )
        return _edit_responses.make_json_response(edit_response)


def _handle_errors(handler: typedefs.Handler) -> typedefs.Handler:
    """Return a handler that responds to an error with its HTTP status."""

    async def handle(request: web.Request) -> web.StreamResponse:
        try:
            return await handler(request)
        except tuple(_STATUS_BY_ERROR) as error:
            return _edit_responses.make_error_response(
                error, _STATUS_BY_ERROR[type(error)]
            )

    return handle


async def _read_rows(
    request: web.Request,
) -> list[configuration.ServiceRow]:
    body = await request.read()
    if request.content_type != _JSON_TYPE:
        return configuration.parse_csv(body)
    try:
        message = msgspec.json.decode(body, type=_messages.TableBody)
    except msgspec.DecodeError as error:
        raise base.ParameterError(
            problem=f"the body is not a valid table: {error}",
            remedy='send {"rows": [{COLUMN: TEXT}]} as GET /table gives them',
        ) from error
    return configuration.parse_cells(message.rows)


def _read_expected_version(request: web.Request) -> base.TableVersion | None:
    """Return the version in If-Match; None if it is missing or invalid."""
    text = request.headers.get("If-Match", "").strip()
    if len(text) < 3 or text[0] != '"' or text[-1] != '"':
        return None
    number = _parse_number(text[1:-1])
    return None if number is None else base.TableVersion(number)


def _parse_number(text: str) -> int | None:
    """Return a non-negative integer of at most 18 digits, or None."""
    return int(text) if re.fullmatch(r"[0-9]{1,18}", text) else None


def _read_note(query: Mapping[str, str]) -> configuration.EditNote:
    return configuration.EditNote(
        edit_id=query.get("edit_id") or configuration.make_edit_id(),
        reason=query.get("reason", ""),
        who=query.get("who", ""),
    )


def _read_flags(query: Mapping[str, str]) -> configuration.EditFlags:
    return configuration.EditFlags(
        allow_stranding=query.get("allow_stranding") == "1",
        allow_over_limit=query.get("allow_over_limit") == "1",
    )


def _make_version_required_response() -> web.Response:
    edit_response = _messages.EditResponse(
        kind=_messages.EditKind.WRONG,
        message="If-Match is missing or names no version; send the ETag "
        "that GET /table gave, in quotes",
    )
    return _edit_responses.make_json_response(edit_response, status=428)


def _make_unavailable_response() -> web.Response:
    refused = configuration.EditRefused(
        retry_after_ms=configuration.RETRY_AFTER_MS
    )
    return _edit_responses.make_result_response(refused, "")
