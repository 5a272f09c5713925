"""Tests that are known to fail."""

import pathlib

#: List of tests that fail because of a known defect.
KNOWN_RED_PATH = pathlib.Path(__file__).parents[2] / "KNOWN-RED.txt"

#: Beginning of the test IDs of cells.
TEST_ID_PREFIX = "tarragonhinge/faults/tests/test_matrix.py::test_cell["


def read_known_red_tests(
    path: pathlib.Path = KNOWN_RED_PATH,
) -> dict[str, str]:
    """Return the issue number of each known red test, by its ID."""
    known: dict[str, str] = {}
    for block in path.read_text().split("\n\n"):
        fields = [line.strip().partition(":") for line in block.splitlines()]
        issue = "".join(v.strip() for n, _, v in fields if n == "issue")
        for name, _, value in fields:
            node = value.strip()
            if name == "test" and "::" in node:
                known[node] = issue
    return known


def read_known_red(path: pathlib.Path = KNOWN_RED_PATH) -> dict[str, str]:
    """Return the issue number of each cell that is known to fail."""
    return {
        node.removeprefix(TEST_ID_PREFIX).removesuffix("]"): issue
        for node, issue in read_known_red_tests(path).items()
        if node.startswith(TEST_ID_PREFIX)
    }
