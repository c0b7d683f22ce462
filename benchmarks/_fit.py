"""Least-squares lines through measured points."""

from __future__ import annotations

from collections.abc import Sequence

import attrs
import numpy as np


@attrs.frozen
class Line:
    """A least-squares line ``intercept + slope * x``.

    Parameters
    ----------
    slope, intercept : float
    residual : float
        Root mean square residual.
    low, high : float
        Smallest and largest ``x`` measured.
    points : int
    """

    slope: float
    intercept: float
    residual: float
    low: float
    high: float
    points: int


def fit_line(x: Sequence[float], y: Sequence[float]) -> Line:
    """Return the least-squares line through the points.

    Raises
    ------
    ValueError
        If there are fewer than two different values of ``x``.

    Examples
    --------
    >>> fit_line([0, 1, 2], [1, 3, 5])
    Line(slope=2.0, intercept=1.0, residual=0.0, low=0.0, high=2.0, points=3)
    """
    if len(set(x)) < 2:
        raise ValueError(f"expected at least two different values of x, got {list(x)}")
    columns = np.column_stack([np.asarray(x, float), np.ones(len(x))])
    (slope, intercept), *_ = np.linalg.lstsq(columns, np.asarray(y, float), rcond=None)
    distances = columns @ (slope, intercept) - np.asarray(y, float)
    residual = float(np.sqrt(np.mean(distances**2)))
    figures = (float(slope), float(intercept), residual)
    # Ten decimals exceed the precision of any measurement; rounding to them keeps floating-point
    # noise out of the files.
    slope, intercept, residual = (round(figure, 10) + 0.0 for figure in figures)
    return Line(slope, intercept, residual, float(min(x)), float(max(x)), len(x))
