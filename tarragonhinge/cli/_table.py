"""Commands for the operators' table."""

import asyncio
import datetime
import getpass
import sys

from fire import decorators
import msgspec

from tarragonhinge import base
from tarragonhinge.cli import _errors
from tarragonhinge.cli import _operators
from tarragonhinge import configuration
from tarragonhinge import operators

#: Decorator that keeps arguments as text; fire would parse "a,b" as a tuple.
_verbatim = decorators.SetParseFn(
    str,
    "address",
    "token_file",
    "reason",
    "who",
    "edit_id",
    "new",
    "against",
    "settings",
    "servers",
    "format",
)


class TableCommands:
    """Commands for the operators' table; CSV is read from standard input."""

    @_verbatim
    def export(
        self, address: str, token_file: str = "", version: str = ""
    ) -> None:
        """Print the stored table, or an earlier version, as CSV."""
        query = {}
        if version != "":
            number = _operators.parse_version("version", version)
            query["version"] = str(number)
        response = _call(address, token_file, "GET", "/table", query=query)
        sys.stdout.buffer.write(response.body)
        number = response.etag.strip('"')
        print(
            f"version {number}: apply an edit of it with "
            f"--expect-version={number}",
            file=sys.stderr,
        )

    @_verbatim
    def check(
        self,
        new: str = "",
        against: str = "",
        settings: str = "",
        servers: str = "",
        format: str = "text",  # noqa: A002
        address: str = "",
        token_file: str = "",
        allow_stranding: bool = False,
        allow_over_limit: bool = False,
    ) -> None:
        """Check a table without storing it.

        With ``--address``, the operators' table is read from standard input
        and checked by an instance. Otherwise ``NEW`` is a file with a
        configuration of the platform, which is read from standard input if no
        file is given. No network is used, and the exit status is 1 if there is
        any finding.
        """
        if not address:
            _check_configuration(
                new=new,
                against=against,
                settings=settings,
                servers=servers,
                output_format=format,
            )
            return
        query = _make_override_flags(allow_stranding, allow_over_limit)
        edit_response = _send(
            address, token_file, "POST", "/table/check", query=query
        )
        print(f"acceptable as an edit of version {edit_response.version}")

    @_verbatim
    def diff(self, address: str, token_file: str = "") -> None:
        """Print the differences between an edited and the stored table."""
        edit_response = _send(address, token_file, "POST", "/table/diff")
        for change in edit_response.changes:
            print(change)
        print(f"{len(edit_response.changes)} cells differ", file=sys.stderr)

    @_verbatim
    def apply(
        self,
        address: str,
        expect_version: int,
        reason: str,
        token_file: str = "",
        who: str = "",
        edit_id: str = "",
        allow_stranding: bool = False,
        allow_over_limit: bool = False,
    ) -> None:
        """Store an edited table as the version after the expected one."""
        expected = _operators.parse_version("expect-version", expect_version)
        query = _make_override_flags(allow_stranding, allow_over_limit)
        query |= _make_edit_note(reason, who, edit_id)
        edit_response = _send(
            address,
            token_file,
            "PUT",
            "/table",
            query=query,
            headers={"If-Match": f'"{expected}"'},
        )
        print(edit_response.message)

    @_verbatim
    def rollback(
        self,
        address: str,
        to: int,
        expect_version: int,
        reason: str,
        token_file: str = "",
        who: str = "",
        edit_id: str = "",
        allow_stranding: bool = False,
        allow_over_limit: bool = False,
    ) -> None:
        """Store the content of an earlier version as a new version."""
        expected = _operators.parse_version("expect-version", expect_version)
        query = _make_override_flags(allow_stranding, allow_over_limit)
        query |= _make_edit_note(reason, who, edit_id)
        query["to"] = str(_operators.parse_version("to", to))
        edit_response = _send(
            address,
            token_file,
            "POST",
            "/table/rollback",
            query=query,
            headers={"If-Match": f'"{expected}"'},
            body=b"",
        )
        print(edit_response.message)

    @_verbatim
    def history(
        self, address: str, token_file: str = "", limit: int = 20
    ) -> None:
        """List the accepted edits, newest first."""
        query = {"limit": str(limit)}
        response = _call(
            address, token_file, "GET", "/table/history", query=query
        )
        document = msgspec.json.decode(
            response.body, type=operators.HistoryDocument
        )
        for edit in document.edits:
            print(_format_edit(edit))

    @_verbatim
    def in_force(self, address: str, token_file: str = "") -> None:
        """Print the stored version and the versions in force."""
        response = _call(address, token_file, "GET", "/table/in-force")
        document = msgspec.json.decode(
            response.body, type=operators.InForceDocument
        )
        stored = document.stored
        if stored is None:
            stored = "out of reach"
        print(f"in force: {document.in_force}; stored: {stored}")
        if document.everywhere is not None:
            print(
                f"in force on all {document.instances} instances that "
                f"report: {document.everywhere}"
            )
        for label, names in (
            ("lagging", document.lagging),
            ("silent", document.silent),
        ):
            if names:
                print(f"{label}: {', '.join(names)}")


def _check_configuration(*, new: str, **options: str) -> None:
    """Check a configuration of the platform and exit with the result."""
    from tarragonhinge.cli import _check

    path = new or _check.STANDARD_INPUT
    sys.exit(_check.check_configuration(new=path, **options))


def _format_edit(edit: configuration.EditSummary) -> str:
    accepted_at = datetime.datetime.fromtimestamp(
        edit.at_ms / base.MS_PER_S, tz=datetime.UTC
    )
    note = edit.note
    return (
        f"version={edit.version} "
        f"at={accepted_at.isoformat(timespec='seconds')} "
        f"who={note.who!r} edit_id={note.edit_id} reason={note.reason!r}"
    )


def _make_override_flags(
    allow_stranding: bool, allow_over_limit: bool
) -> dict:
    return {
        "allow_stranding": str(int(bool(allow_stranding))),
        "allow_over_limit": str(int(bool(allow_over_limit))),
    }


def _make_edit_note(reason: str, who: str, edit_id: str) -> dict[str, str]:
    edit_id = edit_id or configuration.make_edit_id()
    print(f"edit id {edit_id}", file=sys.stderr)
    who = who or getpass.getuser()
    return {"reason": reason, "who": who, "edit_id": edit_id}


def _call(
    address: str, token_file: str, method: str, path: str, **options
) -> _operators.OperatorsResponse:
    """Send a request and return its response, which has status 200."""
    client = _operators.OperatorsClient(address=address, token_file=token_file)
    response = asyncio.run(client.call(method, path, **options))
    if response.status != 200:
        _raise_error(response)
    return response


def _send(
    address: str,
    token_file: str,
    method: str,
    path: str,
    *,
    body: bytes | None = None,
    **options,
) -> operators.EditResponse:
    """Send the table from standard input and return the result."""
    if body is None:
        body = sys.stdin.buffer.read()
    headers = {"Content-Type": "text/csv", **options.pop("headers", {})}
    response = _call(
        address,
        token_file,
        method,
        path,
        body=body,
        headers=headers,
        **options,
    )
    return msgspec.json.decode(response.body, type=operators.EditResponse)


def _raise_error(response: _operators.OperatorsResponse) -> None:
    try:
        edit_response = msgspec.json.decode(
            response.body, type=operators.EditResponse
        )
    except msgspec.DecodeError as error:
        text = response.body.decode(errors="replace").strip()
        raise _errors.CallError(
            problem=f"status {response.status}: {text}",
            remedy="correct the arguments",
        ) from error
    if edit_response.kind is operators.EditKind.CONFLICT:
        changes = "\n".join(str(change) for change in edit_response.changes)
        raise _errors.ConflictError(
            problem=f"{edit_response.message}\n{changes}",
            remedy="export the table, repeat your edit and apply it with "
            f"--expect-version={edit_response.version}",
        )
    if edit_response.kind in (
        operators.EditKind.REFUSED,
        operators.EditKind.UNRESOLVED,
    ):
        raise _errors.OutageError(
            problem=edit_response.message,
            remedy="routing continues with the version in force",
        )
    raise _errors.CommandError(
        problem=edit_response.message or f"status {response.status}",
        remedy="nothing was stored",
    )
