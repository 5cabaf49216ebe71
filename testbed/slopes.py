"""Lines fitted through measured points."""

from statistics import linear_regression
from typing import NamedTuple


class Point(NamedTuple):
    """One measured value at one size."""

    size: float
    value: float


class Slope(NamedTuple):
    """A fitted line through the points."""

    name: str
    unit: str
    each: float
    base: float
    spread: float
    points: list[Point]


def fit(name: str, unit: str, points: list[Point]) -> Slope:
    """Fit a line by least squares."""
    each, base = linear_regression(*zip(*points, strict=True))
    furthest = max(
        abs(point.value - base - each * point.size) for point in points
    )
    largest = max(abs(point.value) for point in points) or 1
    return Slope(name, unit, each, base, furthest / largest, points)
