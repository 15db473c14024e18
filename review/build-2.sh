#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: they are plain Python modules that
# need the standard library only. The nodes run from `target/deps`, which the
# build of the deploy file makes.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps
python3 -m compileall -q review/common_2 review/6 review/7 review/8 review/9 review/10
