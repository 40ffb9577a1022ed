#!/bin/sh
# Compiles the review's stand-ins and those of the project that it starts.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -S -m compileall -q \
    review/harness review/[1-5] platform/stand_ins emulator/ports.py
