#!/bin/sh
# Creates the virtual environment named by $1, or leaves one that is current alone.
set -eu
venv="$1"
wanted=$(cat constraints.txt requirements.txt | cksum)
if [ "$(cat "$venv/.ready" 2>/dev/null || true)" = "$wanted" ]; then
    exit 0
fi
python3 -m venv "$venv"
"$venv/bin/python" -m pip install --quiet --requirement requirements.txt \
    --constraint constraints.txt
for package in packages/*; do
    "$venv/bin/python" -m pip install --quiet --no-deps --no-build-isolation \
        --editable "$package"
done
printf '%s\n' "$wanted" > "$venv/.ready"
