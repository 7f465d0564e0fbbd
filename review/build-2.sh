#!/bin/sh
# Builds what the cases 6 to 10 start beside the balancer. Their stand-ins are Python and need no build and no library:
# this checks that the build of the deploy file has run, and that each stand-in compiles. May be run repeatedly.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || sh deploy/build
.venv/bin/python - review/harness2.py review/[6-9]/case.py review/10/case.py <<'END_OF_CHECK'
import os
import sys

for path in sys.argv[1:]:
    if os.path.exists(path):  # a case that was dropped leaves its number free
        with open(path) as file:
            compile(file.read(), path, "exec")
        print(path, "compiles")
END_OF_CHECK
