"""Tables of played days from the bench's journal.

    python benchmarks/journal_days.py f2bf22f0 b94a3eca

prints a line for each day of these entries: worth, credit, weakest part,
credit by kind of request, and the largest prices.
"""

import argparse
import json
import pathlib

import msgspec

JOURNAL = pathlib.Path(__file__).parent.parent / "journal"

#: Number of prices in a line.
PRICE_COUNT = 4

_Weighted = tuple[str, float, float]


class Day(msgspec.Struct, kw_only=True):
    """A played day of a journal entry; other fields are ignored.

    Parameters
    ----------
    name : str
        Name of the day.
    worth : float
        Credit less prices, as a share of what is owed.
    served, refused, failed : float
        Credit, and shares of refused and failed requests.
    parts, prices : list of tuple
        Name, weight or amount, and value of each.
    by_class : list of float or None
        Credit by kind of request.
    untried_502 : int
        Requests that reached no server and ended with 502 or 504.
    wall_s : float
        Time that the day took to play, in seconds.
    """

    name: str
    worth: float = msgspec.field(name="G")
    served: float = 0.0
    refused: float = 0.0
    failed: float = 0.0
    parts: list[_Weighted] = []
    prices: list[_Weighted] = []
    by_class: list[float | None] = []
    untried_502: int | None = 0
    wall_s: float = 0.0

    def format_row(self, entry: str) -> str:
        """Return the day as a row of a Markdown table."""
        weakest = sorted(self.parts, key=lambda part: part[2])[:2]
        prices = sorted(self.prices, key=lambda price: -price[2])
        kinds = [f"{share:.2f}" for share in self.by_class if share]
        cells = [
            entry,
            self.name,
            f"{self.worth:.3f}",
            f"{self.served:.3f}",
            f"{self.refused:.3f}",
            f"{self.failed:.3f}",
            ", ".join(f"{name} {value:.2f}" for name, _, value in weakest),
            " ".join(kinds),
            ", ".join(
                f"{name} {value:.3f}"
                for name, _, value in prices[:PRICE_COUNT]
            ),
            str(self.untried_502 or 0),
            f"{self.wall_s:.0f}",
        ]
        return "| " + " | ".join(cells) + " |"


class Entry(msgspec.Struct, kw_only=True):
    """A journal entry; other fields are ignored."""

    id: str
    site: str | None = None
    days: list[Day] = []


HEADER = (
    "entry",
    "day",
    "worth",
    "credit",
    "refused",
    "failed",
    "weakest parts",
    "kinds",
    "largest prices",
    "untried 502",
    "played in s",
)


def read_entry(name: str) -> Entry:
    """Read the entry with an id."""
    [path] = JOURNAL.glob(f"*-{name}.json")
    # Entries hold numbers that msgspec's own decoder takes for other types.
    return msgspec.convert(json.loads(path.read_text()), Entry, strict=False)


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("entries", nargs="+", help="ids of journal entries")
    print("| " + " | ".join(HEADER) + " |")
    print("|" + "---|" * len(HEADER))
    for name in parser.parse_args().entries:
        entry = read_entry(name)
        for day in entry.days:
            print(day.format_row(f"{entry.site} {entry.id}"))


if __name__ == "__main__":
    main()
