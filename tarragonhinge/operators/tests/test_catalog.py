"""The page of metrics against the code."""

import pathlib

from tarragonhinge.operators import catalog

PAGE = pathlib.Path(__file__).parents[3] / "docs" / "METRICS.md"


def test_the_page_gives_every_metric():
    assert catalog.format_markdown_table() in PAGE.read_text(encoding="utf-8")


def test_names_are_unique_and_every_label_is_bounded():
    names = [metric.name for metric in catalog.METRICS]
    assert len(set(names)) == len(names)
    used = {label for m in catalog.METRICS for label in m.labels}
    assert used == set(catalog.LABEL_VALUES)
