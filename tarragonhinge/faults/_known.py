"""Cells that are known to be red."""

import pathlib

#: Failing tests that are not mended yet.
KNOWN_RED = pathlib.Path(__file__).parents[2] / "KNOWN-RED.txt"

PREFIX = "tarragonhinge/faults/tests/test_matrix.py::test_cell["


def read_known_red(path: pathlib.Path = KNOWN_RED) -> dict[str, str]:
    """Return the known red cells with the number of their issue."""
    known: dict[str, str] = {}
    for block in path.read_text().split("\n\n"):
        fields = [line.strip().partition(":") for line in block.splitlines()]
        issue = "".join(v.strip() for n, _, v in fields if n == "issue")
        for name, _, value in fields:
            node = value.strip()
            if name == "test" and node.startswith(PREFIX):
                known[node.removeprefix(PREFIX).removesuffix("]")] = issue
    return known
