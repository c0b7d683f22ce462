#!/usr/bin/env bash
# Installs the libraries and the project's packages in target/deps and bundles the modules that a
# forwarder loads at start. Writes nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
ready=target/deps/.ready
if [ ! "$ready" -nt deploy/requirements.txt ] || [ ! "$ready" -nt constraints.txt ]; then
  rm -rf target/deps
  python3 -m pip install -q --target target/deps -r deploy/requirements.txt
  touch "$ready"
fi
for source in packages/*/src/* platform/src/*; do
  name=$(basename "$source")
  rm -rf "target/deps/$name"
  cp -r "$source" "target/deps/$name"
  rm -rf "target/deps/$name/tests"
done
rm -rf target/deps/burdockquay_standins
python3 -m compileall -q target/deps >/dev/null
PYTHONPATH=target/deps python3 -S deploy/make_bundle.py >/dev/null
