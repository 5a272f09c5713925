"""Straight lines through measured points."""

import dataclasses
import statistics


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Fit:
    """Least-squares line through points.

    Parameters
    ----------
    name, unit : str
        What was measured, and in what.
    sizes, values : list of float
        The points.
    """

    name: str
    unit: str
    sizes: list[float]
    values: list[float]

    @property
    def slope(self) -> float:
        """Return the cost of one more."""
        return statistics.linear_regression(self.sizes, self.values).slope

    @property
    def intercept(self) -> float:
        """Return the cost at size zero."""
        return statistics.linear_regression(self.sizes, self.values).intercept

    @property
    def residual(self) -> float:
        """Return the largest deviation of a point from the line."""
        return max(
            abs(value - self.intercept - self.slope * size)
            for size, value in zip(self.sizes, self.values, strict=True)
        )

    def format_row(self) -> str:
        """Return the fit as a row of a Markdown table."""
        points = ", ".join(
            f"{size:g}: {value:.4g}"
            for size, value in zip(self.sizes, self.values, strict=True)
        )
        return (
            f"| {self.name} | {self.slope:.4g} {self.unit} "
            f"| {self.intercept:.4g} | {self.residual:.4g} | {points} |"
        )
