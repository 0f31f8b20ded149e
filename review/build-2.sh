#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: Python sources of this folder, without dependencies.
# The entry processes come from the build of the deploy file, which writes target/deps.
set -eu
cd "$(dirname "$0")"
for source in common-2/parts.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$source"
done
python3 -c 'import sys; sys.path.insert(0, "common-2"); sys.dont_write_bytecode = True; import parts'
