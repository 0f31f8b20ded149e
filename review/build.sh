#!/bin/sh
# The stand-ins of the scripts are plain Python with the standard library only: nothing is compiled.
# This checks that they can be read and that the deploy file's build has been made.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps ] || { echo "run the build of deploy/system.toml first"; exit 1; }
for file in review/common/*.py review/*/*.py; do
    [ -f "$file" ] || continue
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
