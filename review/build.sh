#!/usr/bin/env bash
# Builds the stand-ins of the cases: they need Python's standard library alone, so this only checks
# that they compile, into a folder of the build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
PYTHONPYCACHEPREFIX=target/review-standins python3 -m compileall -q review
