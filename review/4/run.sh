#!/usr/bin/env bash
# The case, once. TROUBLE=0: without the disruption. 1: the rule was broken, 0: it held, 2: it could not run.
export PYTHONDONTWRITEBYTECODE=1
exec timeout 118 python3 "$(dirname "$0")/case.py"
