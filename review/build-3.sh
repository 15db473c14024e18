#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/15. They are Python
# and need only what the deploy file has put into target/deps, so this checks
# that they can be loaded. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps exec python3 -c '
import sys
sys.path.insert(0, "review")
import harness_3
import standins.backends
import standins.mesh
import standins.rows
print("the stand-ins of the review can be loaded")
'
