#!/usr/bin/env bash
# The stand-ins of review/6 to review/10 are Python, of its standard library only: there is nothing to build. Checks that
# they can be read, and that the build of the deploy file is there.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-2/*.py review/{6,7,8,9,10}/case.py; do
  [ ! -f "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
test -x target/bin/hickoryquay-node
