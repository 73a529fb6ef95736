"""Slopes: measured points, the line fitted to them, and its residual."""

from dataclasses import dataclass

import numpy as np

__all__ = ["Slope", "fit"]


@dataclass(frozen=True)
class Slope:
    """Growth of one measured value with one count, with everything else constant.

    :ivar name: what was measured.
    :ivar varied: the count that was varied.
    :ivar unit: unit of the value.
    :ivar setting: what was kept constant.
    :ivar points: measured (count, value).
    :ivar fixed: value of the line at a count of 0.
    :ivar slope: increase of the value for each increase of the count by 1.
    :ivar residual: largest deviation of a point from the line, relative to the
        largest value.
    """

    name: str
    varied: str
    unit: str
    setting: str
    points: tuple[tuple[float, float], ...]
    fixed: float
    slope: float
    residual: float


def fit(
    name: str,
    varied: str,
    unit: str,
    setting: str,
    points: list[tuple[float, float]],
) -> Slope:
    """Return the least-squares line through measured points.

    :param name: what was measured.
    :param varied: the count that was varied.
    :param unit: unit of the value.
    :param setting: what was kept constant.
    :param points: measured (count, value).
    """
    counts = np.array([count for count, _ in points], dtype=float)
    values = np.array([value for _, value in points], dtype=float)
    slope, fixed = np.polyfit(counts, values, 1)
    max_deviation = np.abs(values - (fixed + slope * counts)).max()
    residual = float(max_deviation / max(np.abs(values).max(), 1e-12))
    float_points = tuple((float(count), float(value)) for count, value in points)
    return Slope(
        name, varied, unit, setting, float_points, float(fixed), float(slope), residual
    )
