#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. All processes of the
# case are in a process group of their own, which is ended with it.
set -m
cd "$(dirname "$0")" || exit 2
python3 -B case.py &
case=$!
trap 'kill -TERM "$case"' TERM INT
wait "$case"
code=$?
while kill -0 "$case" 2>/dev/null; do
  wait "$case"
  code=$?
done
kill -KILL -- "-$case" 2>/dev/null
if [ "$code" = 0 ]; then exit 0; elif [ "$code" = 10 ]; then exit 1; else exit 2; fi
