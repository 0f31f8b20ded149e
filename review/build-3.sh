#!/usr/bin/env bash
# Prepares the stand-ins that the scripts of this review start. They are Python modules that use
# only the standard library and target/deps, so there is nothing to compile; this checks that they
# can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="src:target/deps:." PYTHONDONTWRITEBYTECODE=1
python3 -c "import tests.common.entry, tests.common.ports"
for script in review/1[1-5]/*.py; do
  python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$script"
done
