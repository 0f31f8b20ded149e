#!/usr/bin/env bash
# Regenerates the Protocol Buffers code. Needs the packages in requirements-generate.txt, which the
# build and CI do not need.
set -euo pipefail
cd "$(dirname "$0")/.."
python="${MULBERRYRILL_VENV:-.venv}/bin/python"
PATH="$(dirname "$python"):$PATH" "$python" -m grpc_tools.protoc -I src --python_out=src --mypy_out=src \
  src/mulberryrill/internal/schema/*.proto
