#!/bin/sh
# Builds what the cases need: the balancer as the deploy file says, and the stand-ins, which are Python and only compiled.
set -eu
cd "$(dirname "$0")/.."
sh deploy/build
.venv/bin/python -m py_compile review/common.py review/*/*.py
