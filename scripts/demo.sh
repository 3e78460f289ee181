#!/usr/bin/env bash
# Runs the demonstration on loopback. Usage: demo.sh DIRECTORY_OF_BINARIES
set -euo pipefail
exec timeout --signal=INT --kill-after=10 300 python3 "$(dirname "$0")/demo/main.py" "$@"
