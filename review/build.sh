#!/bin/sh
# Builds the cases' stand-ins, after the build of the deploy file: plain Python on the standard library, so that
# only their syntax is checked. No network is needed.
set -eu
cd "$(dirname "$0")/.."
for file in review/common/*.py review/[0-9]/*.py; do
    .venv/bin/python -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
