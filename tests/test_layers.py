"""Tests of the layering: imports between packages go in one direction only."""

import ast
import graphlib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGES = ROOT / "packages"
ADAPTER = ROOT / "platform" / "src" / "burdockquay_platform"

MAX_ADAPTER_LINES = 1500
"""Limit on the lines of the adapter without its tests; further code belongs in the product."""

PLATFORM_NAMES = (
    "rows-get",
    "rows-feed",
    "rows-tx",
    "blob-put",
    "Attempt-Id",
    "Response-Seal",
    "Not-Executed",
    "Expect-Instance",
    "Instance-Id",
    "Prefix-Hash",
    "Token-Count",
    "X-Api-Key",
    "Deadline-Ms",
    "Weight-Versions",
    "Last-Event-Id",
    "apiKeys",
    "trafficSplit",
    "timeoutMs",
    "targetLatencyMs",
    "gapTargetMs",
    "maxAttempts",
    "sessionAffinity",
    "streamResume",
    "expectedRevision",
    "setKeys",
    "tombstone",
    "waitMs",
    "nowMs",
)
"""Paths, headers and fields that may occur only in the adapter."""

# Packages that each package may import. The stand-ins may import only the state package.
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
        own_imports = set(imported_packages(path)) & set(ALLOWED) - {package}
        assert own_imports <= ALLOWED[package], f"{path} imports {own_imports - ALLOWED[package]}"


def source_files(folder):
    return [path for path in folder.rglob("*.py") if "tests" not in path.parts]


def test_only_the_adapter_contains_platform_names():
    found = {
        f"{path.relative_to(ROOT)}: {platform_name}"
        for path in source_files(PACKAGES)
        for platform_name in PLATFORM_NAMES
        if platform_name in path.read_text()
    }
    assert found == set()


def test_adapter_imports_layers_below_and_no_other_package_imports_it():
    own_imports = {name for path in source_files(ADAPTER) for name in imported_packages(path)}
    assert own_imports & set(ALLOWED) <= {
        "burdockquay_state",
        "burdockquay_coordination",
        "burdockquay_transport",
    }
    other_imports = {name for path in source_files(PACKAGES) for name in imported_packages(path)}
    assert "burdockquay_platform" not in other_imports


def test_adapter_stays_small():
    lines = sum(len(path.read_text().splitlines()) for path in source_files(ADAPTER))
    assert lines <= MAX_ADAPTER_LINES


FORWARDING = [
    PACKAGES / "burdockquay-coordination/src/burdockquay_coordination/forwarding",
    PACKAGES / "burdockquay-transport/src/burdockquay_transport/forwarding",
    ADAPTER,
]


def imported_siblings(path):
    """Yield the modules of the same folder that a module imports, including type-only imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.level == 1:
            names = [node.module] if node.module else [alias.name for alias in node.names]
            yield from (name for name in names if (path.parent / f"{name}.py").exists())


@pytest.mark.parametrize("folder", FORWARDING, ids=lambda folder: folder.parts[-2])
def test_modules_of_a_folder_have_no_import_cycles(folder):
    modules = {path.stem: path for path in folder.glob("*.py") if path.stem != "__init__"}
    assert modules
    order = graphlib.TopologicalSorter(
        {name: set(imported_siblings(path)) for name, path in modules.items()}
    )
    order.prepare()
