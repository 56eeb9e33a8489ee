#!/bin/sh
# Builds the stand-ins of all cases: they are Python files that need the standard library only.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
