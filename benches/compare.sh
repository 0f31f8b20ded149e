#!/usr/bin/env bash
# Compares the routing policies in one run: benches/compare.sh [SITE [SECONDS [RATE]]]
# Starts one deployment for each policy (about 75 processes) and sends all of them the same requests
# at the same times.
set -euo pipefail
cd "$(dirname "$0")/.."
site="${1:-kimolia}" seconds="${2:-60}" rate="${3:-6}"
python="$(cd "${MULBERRYRILL_VENV:-.venv}" && pwd)/bin/python"
export PYTHONPATH=src MULBERRYRILL_RUN=run/compare MULBERRYRILL_SITES=run/compare/sites
rm -rf run/compare
"$python" -m benches.sites --site "$site" sites
names=("$site-least-loaded" "$site-affinity" "$site-full")
trap 'deploy/local.sh stop "${names[@]}"' EXIT
deploy/local.sh start "${names[@]}"
for name in "${names[@]}"; do
  urls="$(cat "run/compare/$name/operators/urls")"
  while IFS=$'\t' read -r token document; do
    "$python" -m mulberryrill.bin.operator --operators-url "$urls" --token-file "$token" \
      --base-revision 0 --reason "comparison" --wait 30 apply "$document"
  done <"run/compare/$name/operators/applications"
done
"$python" -m benches.sites --site "$site" --seconds "$seconds" --rate "$rate" load
"$python" -m mulberryrill.bin.load --load_settings run/compare/load.yaml
