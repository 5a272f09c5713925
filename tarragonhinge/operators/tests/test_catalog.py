"""Metrics in the catalog and on their documentation page."""

import pathlib

from tarragonhinge.operators import catalog

METRICS_PAGE = pathlib.Path(__file__).parents[3] / "docs" / "METRICS.md"


def test_page_lists_every_metric():
    assert catalog.format_markdown_table() in METRICS_PAGE.read_text(
        encoding="utf-8"
    )


def test_names_are_unique_and_labels_have_listed_values():
    names = [metric.name for metric in catalog.METRICS]
    assert len(set(names)) == len(names)
    used = {label for m in catalog.METRICS for label in m.labels}
    assert used == set(catalog.LABEL_VALUES)
