"""Tests of the capacity page against the committed measurement file."""

import importlib
import json
import re
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent


sys.path.insert(0, str(ROOT / "scripts"))
capacity = importlib.import_module("make_capacity")
RESULTS = json.loads(capacity.RESULTS.read_text())


def test_page_has_the_figures_of_the_measurement_file():
    page = capacity.PAGE.read_text()
    assert page == capacity.fill_page(page, RESULTS), "run python scripts/make_capacity.py"


def test_page_has_every_table():
    named = re.findall(r"<!-- table: ([a-z ]+) -->", capacity.PAGE.read_text())
    assert sorted(named) == sorted(capacity.TABLES)


def test_lines_are_fitted_to_the_samples():
    """Guards against a slope edited by hand in the measurement file, which the page would show."""
    for key, fitted in RESULTS["lines"].items():
        role, _, stage = key.partition(".")
        points = [s for s in RESULTS["samples"] if (s["role"], s["stage"]) == (role, stage)]
        for cost, line in fitted.items():
            slope, intercept = fit_line([(point["x"], point[cost]) for point in points])
            assert slope == pytest.approx(line["slope"], rel=1e-6, abs=1e-8)
            assert intercept == pytest.approx(line["intercept"], rel=1e-6, abs=1e-6)


def fit_line(points):
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return slope, mean_y - slope * mean_x
