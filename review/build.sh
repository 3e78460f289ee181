#!/usr/bin/env bash
# What the scripts of the review start, besides the build of deploy/system.toml: stand-ins in Python, which need no
# build. This checks that they can be run.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
python3 - "$here" <<'EOF'
import glob, sys
if sys.version_info < (3, 10):
    sys.exit("Python 3.10 or later is needed")
for path in sorted(glob.glob(sys.argv[1] + "/lib/*.py") + glob.glob(sys.argv[1] + "/[1-5]/*.py")):
    compile(open(path).read(), path, "exec")
EOF
if [ ! -x "$here/../target/bin/hickoryquay-node" ]; then
  echo "target/bin/hickoryquay-node is missing: run the build line of deploy/system.toml first" >&2
  exit 1
fi
