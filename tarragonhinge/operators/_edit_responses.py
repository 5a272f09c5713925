"""HTTP responses to edits of the operators' table."""

import math

from aiohttp import web
import msgspec

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge.operators import _messages

_Kind = _messages.EditKind

_STATUS_BY_KIND = {
    _Kind.ACCEPTED: 200,
    _Kind.UNCHANGED: 200,
    _Kind.CHECKED: 200,
    _Kind.CONFLICT: 412,
    _Kind.WRONG: 422,
    _Kind.REFUSED: 503,
    _Kind.UNRESOLVED: 503,
}


def make_json_response(message: msgspec.Struct, **options) -> web.Response:
    """Return a response with a message as its JSON body."""
    return web.Response(
        body=msgspec.json.encode(message),
        content_type="application/json",
        **options,
    )


def make_etag(version: base.TableVersion) -> str:
    """Return the entity tag of a version of the table."""
    return f'"{version}"'


def make_edit_response(
    result: configuration.EditResult, edit_id: str
) -> _messages.EditResponse:
    """Return the message that reports the result of an edit."""
    if isinstance(result, configuration.Accepted):
        return _messages.EditResponse(
            kind=_Kind.ACCEPTED,
            message=f"accepted as version {result.version}",
            version=result.version,
            edit_id=edit_id,
        )
    if isinstance(result, configuration.Unchanged):
        return _messages.EditResponse(
            kind=_Kind.UNCHANGED,
            message=f"no change; version {result.version} stands",
            version=result.version,
            edit_id=edit_id,
        )
    if isinstance(result, configuration.EditConflict):
        return _messages.EditResponse(
            kind=_Kind.CONFLICT,
            message="another edit was accepted first; nothing was stored: "
            f"merge your edit into version {result.current.version}",
            version=result.current.version,
            edit_id=edit_id,
            changes=list(result.changes),
        )
    if isinstance(result, configuration.EditUnresolved):
        return _messages.EditResponse(
            kind=_Kind.UNRESOLVED,
            message="the store did not say whether it stored the edit; send "
            f"it again with edit id {edit_id}, which stores it once",
            edit_id=edit_id,
        )
    return _messages.EditResponse(
        kind=_Kind.REFUSED,
        message="the store is out of reach and this attempt stored nothing; "
        f"try again in {result.retry_after_ms} ms with edit id {edit_id}",
        edit_id=edit_id,
    )


def make_result_response(
    result: configuration.EditResult, edit_id: str
) -> web.Response:
    """Return the HTTP response that reports the result of an edit."""
    edit_response = make_edit_response(result, edit_id)
    headers = {}
    if edit_response.version:
        headers["ETag"] = make_etag(edit_response.version)
    retry_after_ms = getattr(result, "retry_after_ms", 0)
    if retry_after_ms:
        headers["Retry-After"] = str(math.ceil(retry_after_ms / base.MS_PER_S))
    return make_json_response(
        edit_response,
        status=_STATUS_BY_KIND[edit_response.kind],
        headers=headers,
    )


def make_error_response(
    error: base.TarragonhingeError, status: int
) -> web.Response:
    """Return the HTTP response that reports an invalid edit."""
    problems = []
    if isinstance(error, configuration.TableError):
        problems = error.problems
    edit_response = _messages.EditResponse(
        kind=_Kind.WRONG, message=str(error), problems=problems
    )
    return make_json_response(edit_response, status=status)
