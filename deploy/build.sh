#!/usr/bin/env bash
# Builds target/deps (libraries, sources, bytecode) from a clean checkout.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
if [ ! -e "$deps/.libraries" ] || [ deploy/requirements.lock -nt "$deps/.libraries" ]; then
    rm -rf "$deps"
    python3 -m pip install --quiet --disable-pip-version-check \
        --root-user-action=ignore --target "$deps" -r deploy/requirements.lock
    touch "$deps/.libraries"
fi
rm -rf "$deps"/cornelbeam_*
for package in core wire settings daemon mesh; do
    cp -R packages/"$package"/src/cornelbeam_* "$deps"/
done
cp -R platform/cornelbeam_adapter "$deps"/
python3 -m compileall -q "$deps"
