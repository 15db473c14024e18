#!/bin/sh
# The stand-ins are Python: this checks that they can be loaded after the build
# of the deploy file. It needs no network.
cd "$(dirname "$0")/.." || exit 1
for case in review/*/case.py; do
    python3 -B -c "
import runpy
import sys
runpy.run_path(sys.argv[1], run_name='check')
" "$case" || exit 1
done
