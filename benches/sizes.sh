#!/usr/bin/env bash
# Measures the idle cost of control and gateway processes: benches/sizes.sh [SECONDS [SIZE...]]
# Each SIZE is "instances engines" for each of three data centres; one size runs at a time.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds="${1:-20}"
sizes=("${@:2}")
[ "${#sizes[@]}" -gt 0 ] || sizes=("2 2" "2 8" "2 20" "4 2" "6 2")
python="$(cd "${MULBERRYRILL_VENV:-.venv}" && pwd)/bin/python"
export PYTHONPATH=src MULBERRYRILL_RUN=run/sizes MULBERRYRILL_SITES=run/sizes/sites
rm -rf run/sizes
for size in "${sizes[@]}"; do
  read -r instances engines <<<"$size"
  name="size-$instances-$engines"
  mkdir -p "$MULBERRYRILL_SITES/$name"
  cp examples/kimolia/*.yaml "$MULBERRYRILL_SITES/$name"
  sed -i "s/instances: 2, engines: 2/instances: $instances, engines: $engines/; \
    s/^name: .*/name: $name/; s/max_instances: .*/max_instances: 8/" \
    "$MULBERRYRILL_SITES/$name/site.yaml"
  trap 'deploy/local.sh stop "$name"' EXIT
  deploy/local.sh start "$name" >/dev/null
  sleep 10
  echo "$((instances * 3)) instances, $((engines * 3)) engines"
  "$python" -m benches.idle "$MULBERRYRILL_RUN/$name/plan.json" --seconds "$seconds"
  trap - EXIT
  deploy/local.sh stop "$name" >/dev/null
done
