#!/usr/bin/env bash
# Checks the layout of all C++ sources; with --write, corrects it.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
[ "${1:-}" = "--write" ] && mode=(-i)
git ls-files -co --exclude-standard '*.cc' '*.h' | grep -v '/gen/' | xargs -r -P "$(nproc)" -n 8 clang-format "${mode[@]}"
