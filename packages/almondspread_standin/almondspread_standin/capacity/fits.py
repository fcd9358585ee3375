"""Straight lines through measured points, and what they say at another size."""

import math

import numpy
from attrs import define


@define(frozen=True)
class Point:
    """One measured value at one size."""

    size: float
    value: float


@define(frozen=True)
class Line:
    """A fitted line: value = ``base`` + ``slope`` times size.

    ``error`` is the root mean square distance of the points from the line.
    """

    base: float
    slope: float
    error: float

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.base + self.slope * size


def fit_line(points: list[Point]) -> Line:
    """Return the line of least squares through two or more points.

    >>> line = fit_line([Point(0, 1), Point(1, 3), Point(2, 5)])
    >>> round(line.base, 6), round(line.slope, 6), round(line.error, 6)
    (1.0, 2.0, 0.0)
    """
    sizes = numpy.array([point.size for point in points])
    values = numpy.array([point.value for point in points])
    slope, base = numpy.polyfit(sizes, values, 1)
    distances = values - (base + slope * sizes)
    error = math.sqrt(float(numpy.mean(distances**2)))
    return Line(float(base), float(slope), error)


def find_limit(line: Line, bound: float) -> float:
    """Return the size at which a line reaches a bound, infinity where it never does.

    >>> find_limit(Line(1.0, 2.0, 0.0), 9.0)
    4.0
    """
    if line.slope <= 0:
        return math.inf
    return (bound - line.base) / line.slope
