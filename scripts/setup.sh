#!/usr/bin/env bash
# Creates the virtual environment with the locked versions and installs the package in place.
# MULBERRYRILL_VENV names another environment; python3 must be 3.11 or newer.
set -euo pipefail
cd "$(dirname "$0")/.."
venv="${MULBERRYRILL_VENV:-.venv}"
[ -x "$venv/bin/python" ] || python3 -m venv "$venv"
if ! cmp -s requirements.lock "$venv/installed.lock"; then
  "$venv/bin/pip" install -qq --disable-pip-version-check -r requirements.lock
  "$venv/bin/pip" install -qq --disable-pip-version-check --no-deps -e .
  cp requirements.lock "$venv/installed.lock"
fi
