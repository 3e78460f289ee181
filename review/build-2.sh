#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start beside the build of the deploy file. The stand-ins are Python, of
# its standard library only: they are only read here. review/6 needs the build of an earlier commit of the repository's
# history, with the commands of its own deploy file, in target/review-earlier.
set -euo pipefail
cd "$(dirname "$0")/.."
earlier=8a41435
for file in review/lib-2/*.py review/{6,7,8,9,10}/case.py; do
  [ ! -f "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
test -x target/bin/hickoryquay-node
there=target/review-earlier
if [ ! -x "$there/target/bin/hickoryquay-node" ]; then
  rm -rf "$there"
  mkdir -p "$there"
  if git archive "$earlier" 2>/dev/null | tar -x -C "$there" 2>/dev/null; then
    (cd "$there" && sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)")
  else
    echo "commit $earlier is not in this history: review/6 puts the row that it writes into the store instead"
  fi
fi
