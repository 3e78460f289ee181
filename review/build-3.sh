#!/usr/bin/env bash
# Builds the stand-ins that review/11 to review/15 start. They are Python programs of review/lib-3 and of the cases
# themselves, which need nothing built: this only checks that they compile. The program under review is built by the
# `build` line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib-3/*.py 1[1-5]/case.py <<'CHECK'
import os, sys
for name in sys.argv[1:]:
    if os.path.exists(name):
        compile(open(name).read(), name, "exec")
CHECK
echo "nothing to build"
