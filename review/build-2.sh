#!/bin/sh
# Builds the stand-ins of the cases 6 to 10.  They are Python of the standard library: there is only
# byte code to make, with the interpreter that the build of the deploy file has installed.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review/standins2.py review/6 review/7 review/8 review/9
