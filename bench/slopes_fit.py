"""Slopes: measured points, the straight line through them, and its residual."""

from dataclasses import dataclass

import numpy as np

__all__ = ["Slope", "fit"]


@dataclass(frozen=True)
class Slope:
    """How one figure grows with one count, everything else kept as it is.

    :ivar name: what was measured.
    :ivar varied: the count that was varied.
    :ivar unit: unit of the figure.
    :ivar setting: what was kept as it is.
    :ivar points: measured (count, figure).
    :ivar fixed: the line's figure at a count of 0.
    :ivar slope: growth of the figure per one more.
    :ivar residual: largest distance of a point from the line, relative to the
        largest figure.
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
    """Return the line of least squares through measured points.

    :param name: what was measured.
    :param varied: the count that was varied.
    :param unit: unit of the figure.
    :param setting: what was kept as it is.
    :param points: measured (count, figure).
    """
    counts = np.array([count for count, _ in points], dtype=float)
    figures = np.array([figure for _, figure in points], dtype=float)
    slope, fixed = np.polyfit(counts, figures, 1)
    distance = np.abs(figures - (fixed + slope * counts)).max()
    residual = float(distance / max(np.abs(figures).max(), 1e-12))
    rounded = tuple((float(count), float(figure)) for count, figure in points)
    return Slope(
        name, varied, unit, setting, rounded, float(fixed), float(slope), residual
    )
