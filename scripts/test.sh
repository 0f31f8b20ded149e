#!/usr/bin/env bash
# Installs what is needed, then formats, lints, type-checks and tests. Ends with "N passed, N failed".
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
export PYTHONPATH=src
bin="$(cd "${MULBERRYRILL_VENV:-.venv}" && pwd)/bin"
"$bin/black" --quiet --check src tests benches
"$bin/ruff" check --quiet src tests benches
"$bin/mypy" --no-error-summary
"$bin/python" -m tests.runner
