"""Imports between the packages run one way only."""

import ast
from pathlib import Path

import pytest

PACKAGES = Path(__file__).parent.parent / "packages"

# Each package may import those behind it in the list; the stand-ins only what lasts.
ALLOWED = {
    "burdockquay_state": set(),
    "burdockquay_protocol": {"burdockquay_state"},
    "burdockquay_coordination": {"burdockquay_state", "burdockquay_protocol"},
    "burdockquay_transport": {
        "burdockquay_state",
        "burdockquay_protocol",
        "burdockquay_coordination",
    },
    "burdockquay_standins": {"burdockquay_state"},
    "burdockquay": {
        "burdockquay_state",
        "burdockquay_protocol",
        "burdockquay_coordination",
        "burdockquay_transport",
    },
}


def imported_packages(path):
    tree = ast.parse(path.read_text())
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name.split(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.level == 0:
            yield node.module.split(".")[0]


@pytest.mark.parametrize("package", ALLOWED)
def test_package_imports_only_lower_layers(package):
    sources = [
        path
        for path in PACKAGES.glob(f"*/src/{package}/**/*.py")
        if "tests" not in path.parts and path.name != "conftest.py"
    ]
    assert sources
    for path in sources:
        ours = set(imported_packages(path)) & set(ALLOWED) - {package}
        assert ours <= ALLOWED[package], f"{path} imports {ours - ALLOWED[package]}"
