#!/usr/bin/env bash
# The stand-ins are plain Python and need nothing beyond the standard library; this
# compiles them in memory, so that a fault in one shows here and not in a case.
set -euo pipefail
cd "$(dirname "$0")"
test -d ../target/deps || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
for file in standin/*.py [0-9]*/case.py; do
    [ -f "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
