#!/bin/sh
# Lays out the project's own stand-ins for the scripts of the second review; needs the
# build of the deploy file first, and no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rm -rf target/review-2/platform_standin target/review-2/almondspread_adapter
cp -r platform/platform_standin platform/almondspread_adapter target/review-2/
PYTHONPATH="$PWD/target/deps:$PWD/target/review-2" python3 -c "
import platform_standin.store_server
import almondspread.testing.record_store"
# The stand-ins and scripts of cases 8 and 10 need nothing but the build of the deploy
# file; this compiles them in memory.
for file in review/loopback_cell/*.py review/8/case.py review/10/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
PYTHONPATH="$PWD/target/deps" python3 -c "import tornado.httpserver, tornado.httpclient"
