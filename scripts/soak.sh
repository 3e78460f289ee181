#!/usr/bin/env bash
# Runs the randomized soak. Usage: soak.sh BUILD_DIR [FROM_SEED [TO_SEED [SECONDS]]]; several seeds at a time.
# Seeds that ever failed are kept in scripts/soak/seeds.txt with a line on the cause; they are run first.
set -euo pipefail
cd "$(dirname "$0")/.."
binary=${1:-build}/bin/hickoryquay-node
from=${2:-1}
to=${3:-3}
seconds=${4:-10}
python3 scripts/soak/lost_test.py
kept=$(sed -n 's/^\([0-9][0-9]*\):.*/\1/p' scripts/soak/seeds.txt)
{ printf '%s\n' $kept; seq "$from" "$to"; } | sort -un |
  xargs -P 2 -I{} python3 scripts/soak/soak.py --binary "$binary" --seed {} --seconds "$seconds"
