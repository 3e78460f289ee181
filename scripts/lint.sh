#!/usr/bin/env bash
# clang-format and clang-tidy over all sources. Usage: lint.sh BUILD_DIR [FILE.cc ...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
scripts/format.sh
if [ $# -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files -co --exclude-standard '*.cc' | grep -v '/gen/')
fi
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 1 python3 scripts/tidy.py "$build" 2> >(grep -v 'warnings generated\|Suppressed\|Use -header-filter' >&2)
echo "lint: ok, ${#files[@]} files"
