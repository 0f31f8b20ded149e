#!/usr/bin/env bash
# Installs what is needed, starts the example sites, applies their documents, sends real requests,
# explains one, and stops everything: deploy/demo.sh [SITE...]   (default: pipi-tamu kimolia)
# Exits with a non-zero code if any step failed or any response was wrong.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
python="$(cd "${MULBERRYRILL_VENV:-.venv}" && pwd)/bin/python"
export PYTHONPATH=src
run_folder="${MULBERRYRILL_RUN:-run}"
in_force_timeout_s=30

sites=("$@")
[ "${#sites[@]}" -gt 0 ] || sites=(pipi-tamu kimolia)

run_operator() { # TOKEN_FILE ARGUMENT...
  "$python" -m mulberryrill.bin.operator --operators-url "$urls" --token-file "$@"
}

show_site() {
  local folder="$run_folder/$1" urls token document output request
  urls="$(cat "$folder/operators/urls")"
  echo "== $1: documents"
  while IFS=$'\t' read -r token document; do
    run_operator "$token" --base-revision 0 --reason "first version" --wait "$in_force_timeout_s" \
      apply "$document"
  done <"$folder/operators/applications"
  echo "== $1: requests"
  output="$("$python" -m mulberryrill.bin.standin_callers --plan "$folder/plan.json")" || {
    echo "$output"
    return 1
  }
  echo "$output" | grep -v '^explain '
  request="$(echo "$output" | sed -n 's/^explain //p')"
  echo "== $1: what happened to $request"
  run_operator "$(head -n 1 "$folder/operators/applications" | cut -f 1)" explain "$request"
}

for site in "${sites[@]}"; do
  deploy/local.sh start "$site"
  # Stop the site also after a failure.
  trap 'deploy/local.sh stop "$site"' EXIT
  show_site "$site"
  trap - EXIT
  deploy/local.sh stop "$site"
  echo "== $site: history"
  "$python" -m mulberryrill.bin.history "$run_folder/$site"/history/*.jsonl
done
