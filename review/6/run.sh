#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -d ../../target/deps ] || { echo "target/deps is missing: run the build of the deploy file"; exit 2; }
exec python3 case.py
