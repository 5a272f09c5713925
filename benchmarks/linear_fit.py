"""Least-squares lines through measured points."""

import dataclasses
import statistics


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LinearFit:
    """Least-squares line through the measured costs at several sizes.

    Parameters
    ----------
    name : str
        What was measured.
    unit : str
        Unit of the values.
    sizes, values : list of float
        The measured points: the cost at each size.
    """

    name: str
    unit: str
    sizes: list[float]
    values: list[float]

    @property
    def slope(self) -> float:
        """Return the marginal cost: the cost of one more unit of size."""
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
