#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts: they need Python's standard library alone, so
# this only checks that they compile, into a folder of the build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
PYTHONPYCACHEPREFIX=target/review-2-standins python3 -m compileall -q review/standins2.py \
    review/[4-8]/*.py
