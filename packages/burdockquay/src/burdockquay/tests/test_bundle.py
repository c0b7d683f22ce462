"""Tests of the bundle from which a process loads its modules at startup."""

import json
import subprocess
import sys
from pathlib import Path

import aiohttp
import aiohttp.web
import pytest

from burdockquay._bundle import BundleFinder, use_bundle, write_bundle

ROOTS = {"libraries": str(Path(aiohttp.__file__).parents[1])}

SCRIPT = """
import json, sys
from burdockquay._bundle import BundleFinder, use_bundle
use_bundle(sys.argv[1], json.loads(sys.argv[2]))
import aiohttp.web, json.decoder, multidict
modules = [sys.modules[name] for name in ("aiohttp", "aiohttp.web", "json.decoder", "multidict")]
print(json.dumps({
    "bundled": [isinstance(item.__spec__.loader, BundleFinder) for item in modules],
    "files": [item.__file__ for item in modules],
    "built": aiohttp.http_parser.HttpRequestParser.__module__,
}))
"""


@pytest.fixture
def bundle(tmp_path):
    file = tmp_path / "modules.bundle"
    names = sorted(name for name in sys.modules if name.split(".")[0] == "aiohttp")
    assert write_bundle(str(file), names, ROOTS) > 20
    return file


def run_script(file):
    done = subprocess.run(
        [sys.executable, "-c", SCRIPT, str(file), json.dumps(ROOTS)], capture_output=True, text=True
    )
    assert done.returncode == 0, done.stderr
    return json.loads(done.stdout)


def test_modules_are_loaded_from_the_bundle_and_are_equal(bundle, tmp_path):
    bundled = run_script(bundle)
    ordinary = run_script(tmp_path / "none")
    assert bundled["bundled"] == [True, True, False, False], "only the modules that were written"
    assert not any(ordinary["bundled"])
    assert bundled["files"] == ordinary["files"]
    assert bundled["built"] == ordinary["built"], "extension modules of a package are still found"


def test_bundle_of_another_interpreter_is_ignored(bundle, monkeypatch):
    """Guards against loading a bundle after the interpreter was replaced without a rebuild.

    The code would be decoded wrongly, and the process would end with an obscure error.
    """
    monkeypatch.setattr(sys, "version", "another")
    use_bundle(str(bundle))
    assert not any(isinstance(finder, BundleFinder) for finder in sys.meta_path)
