#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They need the standard library alone.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "run the line build of deploy/balancer.toml first" >&2; exit 2; }
for file in review/stand_ins/*.py review/[0-9]*/play.py; do
    .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
