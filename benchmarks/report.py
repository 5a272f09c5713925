"""Writes the measures as JSON, Markdown and plots into ``out/``.

Run as ``make bench``, or ``python benchmarks/report.py`` where the extra
``bench`` is installed.
"""

import dataclasses
import logging as standard_logging
import pathlib
import statistics

import absl.logging
import matplotlib
import msgspec
import propagation
import report_measures

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402 - after the choice of backend

OUT = pathlib.Path(__file__).parent / "out"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """All figures of one run; only `path` depends on the machine."""

    balance: list[report_measures.Balance]
    losses: list[report_measures.Loss]
    goodput: list[report_measures.Goodput]
    drains: list[report_measures.Drain]
    edits: list[propagation.Result]
    orders: list[report_measures.Orders]
    path: list[report_measures.Path]


def format_balance(rows: list[report_measures.Balance]) -> list[str]:
    """Return the table of imbalance and churn."""
    lines = [
        "| service | Zipf | way | imbalance mean | p95 | floor "
        "| moved/h | at loss | at return | unserved |",
        "|---|---|---|---|---|---|---|---|---|---|",
    ]
    for row in rows:
        found = row.figures
        unserved = "-" if row.unserved is None else f"{row.unserved:.1%}"
        lines.append(
            f"| {row.site} | {row.skew} | {row.way} | {found.mean:.2f} "
            f"| {found.p95:.2f} | {found.floor:.2f} "
            f"| {found.moved_per_hour:.2f} | {found.moved_at_loss:.3f} "
            f"| {found.moved_at_return:.3f} | {unserved} |"
        )
    return lines


def format_losses(rows: list[report_measures.Loss]) -> list[str]:
    """Return the table of unavailable time."""
    lines = [
        "| service | loss | way | last failure at ms | failed probes "
        "| partitions moved |",
        "|---|---|---|---|---|---|",
    ]
    for row in rows:
        lines.append(
            f"| {row.site} | {row.loss} | {row.way} "
            f"| {row.unavailable_ms:.0f} | {row.failed_probes} "
            f"| {row.churn}/{row.partitions} |"
        )
    return lines


def format_goodput(rows: list[report_measures.Goodput]) -> list[str]:
    """Return the table of goodput."""
    lines = [
        "| service | load | way | in time/offered | of high priority |",
        "|---|---|---|---|---|",
    ]
    for row in rows:
        lines.append(
            f"| {row.site} | {row.load} | {row.way} "
            f"| {row.good / row.offered:.3f} "
            f"| {row.high_good / row.high_offered:.3f} |"
        )
    return lines


def format_drains(rows: list[report_measures.Drain]) -> list[str]:
    """Return the table of draining servers."""
    lines = [
        "| service | partitions | emptied ms | longest held ms |",
        "|---|---|---|---|",
    ]
    for row in rows:
        lines.append(
            f"| {row.site} | {row.partitions} | {row.emptied_ms} "
            f"| {row.longest_held_ms} |"
        )
    return lines


def format_edits(rows: list[propagation.Result]) -> list[str]:
    """Return the table of edits."""
    lines = ["| case | median ms | longest ms |", "|---|---|---|"]
    for row in rows:
        median_ms = statistics.median(row.times_ms)
        lines.append(f"| {row.case} | {median_ms:.0f} | {row.times_ms[-1]} |")
    return lines


def format_orders(rows: list[report_measures.Orders]) -> list[str]:
    """Return the table of orders."""
    lines = ["| history | outcomes | run twice |", "|---|---|---|"]
    for row in rows:
        outcomes = ", ".join(f"{k} {v}" for k, v in row.outcomes.items())
        lines.append(f"| {row.policy} | {outcomes} | {row.twice} |")
    return lines


def format_path(rows: list[report_measures.Path]) -> list[str]:
    """Return the table of loopback ratios."""
    lines = ["| way | ratio | lowest round | highest |", "|---|---|---|---|"]
    for row in rows:
        lines.append(
            f"| {row.way} | {row.ratio:.2f} | {row.lowest:.2f} "
            f"| {row.highest:.2f} |"
        )
    return lines


def format_report(report: Report) -> str:
    """Return the report as Markdown."""
    lines = [
        "## Manual time: the same figures in every run",
        "",
        "### Imbalance and churn, keys skewed and moving",
        "",
        *format_balance(report.balance),
        "",
        "![imbalance](imbalance.png)",
        "",
        "### Unavailable time",
        "",
        *format_losses(report.losses),
        "",
        "![unavailable time](unavailable.png)",
        "",
        f"### Goodput, Zipf {report_measures.LOAD_SKEW}",
        "",
        *format_goodput(report.goodput),
        "",
        "![goodput](goodput.png)",
        "",
        "### A draining server is emptied",
        "",
        *format_drains(report.drains),
        "",
        "### An edit comes into force",
        "",
        *format_edits(report.edits),
        "",
        "### Orders while the leader is lost",
        "",
        *format_orders(report.orders),
        "",
        "## Loopback: ratios within one run on one machine",
        "",
        *format_path(report.path),
        "",
    ]
    return "\n".join(lines)


def plot_bars(name: str, label: str, bars: dict[str, float]) -> None:
    """Write one plot of named bars."""
    figure, axes = pyplot.subplots(figsize=(9, 1 + len(bars) / 4))
    axes.barh(list(bars), list(bars.values()))
    axes.invert_yaxis()
    axes.set_xlabel(label)
    figure.tight_layout()
    figure.savefig(OUT / f"{name}.png")
    pyplot.close(figure)


def plot(report: Report) -> None:
    """Write all plots."""
    plot_bars(
        "imbalance",
        "mean imbalance",
        {
            f"{r.site}, {r.skew}, {r.way}": r.figures.mean
            for r in report.balance
        },
    )
    plot_bars(
        "unavailable",
        "last failure after the loss, ms",
        {
            f"{r.site}, {r.loss}, {r.way}": r.unavailable_ms
            for r in report.losses
        },
    )
    plot_bars(
        "goodput",
        "answered in time/offered",
        {
            f"{r.site}, {r.load}, {r.way}": r.good / r.offered
            for r in report.goodput
        },
    )


def main() -> None:
    """Measure everything and write the report."""
    absl.logging.set_verbosity(absl.logging.ERROR)
    standard_logging.getLogger("aiohttp").setLevel("ERROR")
    OUT.mkdir(exist_ok=True)
    report = Report(
        balance=report_measures.measure_balance(),
        losses=report_measures.measure_losses(),
        goodput=report_measures.measure_goodput(),
        drains=report_measures.measure_drains(),
        edits=report_measures.measure_edits(),
        orders=report_measures.measure_orders(),
        path=report_measures.measure_path(),
    )
    content = msgspec.json.format(msgspec.json.encode(report))
    (OUT / "report.json").write_bytes(content + b"\n")
    (OUT / "report.md").write_text(format_report(report))
    plot(report)
    print(f"wrote {OUT}/report.md and report.json")


if __name__ == "__main__":
    main()
