"""Format of the log lines."""

import ast
import pathlib
import re

import tarragonhinge

PACKAGE = pathlib.Path(tarragonhinge.__file__).parent
LEVELS = {"debug", "info", "warning", "error", "exception", "fatal"}

#: A phrase in lower case, followed by key=value pairs.
LINE_FORMAT = re.compile(r"[a-z' ]+( [a-z_]+=%[drsf])*")


def _list_lines():
    for path in sorted(PACKAGE.rglob("*.py")):
        if "tests" in path.parts:
            continue
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and node.func.attr in LEVELS
                and isinstance(node.func.value, ast.Name)
                and node.func.value.id == "logging"
            ):
                yield path.name, ast.literal_eval(node.args[0])


def test_every_log_line_is_phrase_with_pairs():
    lines = list(_list_lines())
    assert len(lines) >= 5
    assert [line for line in lines if not LINE_FORMAT.fullmatch(line[1])] == []
