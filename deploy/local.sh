#!/usr/bin/env bash
# Starts, stops or shows local deployments of the example sites, with stand-ins for the external
# systems: deploy/local.sh start|stop|status [SITE...]   (sites: pipi-tamu kimolia; default: both)
# Settings, keys, logs, histories and process ids are written to run/SITE (or $MULBERRYRILL_RUN/SITE).
set -euo pipefail
cd "$(dirname "$0")/.."
python="$(cd "${MULBERRYRILL_VENV:-.venv}" && pwd)/bin/python"
export PYTHONPATH=src
run_folder="${MULBERRYRILL_RUN:-run}"
sites_folder="${MULBERRYRILL_SITES:-examples}"
stop_timeout_s=60

# After a reboot another program may have the process id, so look for the settings file among the
# arguments of the process.
is_site_process() { # PID SETTINGS
  [ -r "/proc/$1/cmdline" ] && tr '\0' '\n' <"/proc/$1/cmdline" | grep -qxF -- "$2"
}

start_site() {
  local site="$1" folder="$run_folder/$1" name module settings url
  if compgen -G "$folder/pids/*" >/dev/null; then
    echo "$site: already started; stop it first" >&2
    return 1
  fi
  rm -rf "$folder"
  mkdir -p "$folder/pids" "$folder/logs"
  "$python" -m mulberryrill.bin.standin_site --site "$sites_folder/$site/site.yaml" --output "$folder" \
    >"$folder/processes"
  while IFS=$'\t' read -r name module settings url; do
    "$python" -m "$module" --settings "$settings" >"$folder/logs/$name.log" 2>&1 </dev/null &
    echo "$!" >"$folder/pids/$name"
  done <"$folder/processes"
  if ! "$python" -m mulberryrill.bin.standin_wait --plan "$folder/plan.json"; then
    return 1
  fi
  echo "$site: $(wc -l <"$folder/processes") processes are ready"
}

# Stops the processes whose names match and waits until they have exited.
stop_processes() { # FOLDER PATTERN
  local folder="$1" pattern="$2" name module settings url pid deadline stopping=()
  while IFS=$'\t' read -r name module settings url; do
    [[ "$name" =~ $pattern ]] && [ -f "$folder/pids/$name" ] || continue
    pid="$(cat "$folder/pids/$name")"
    if is_site_process "$pid" "$settings"; then
      kill -TERM "$pid" 2>/dev/null || true
    fi
    stopping+=("$name $pid $settings")
  done <"$folder/processes"
  deadline=$((SECONDS + stop_timeout_s))
  local entry
  for entry in ${stopping[@]+"${stopping[@]}"}; do
    read -r name pid settings <<<"$entry"
    while is_site_process "$pid" "$settings" && [ "$SECONDS" -lt "$deadline" ]; do sleep 0.1; done
    if is_site_process "$pid" "$settings"; then
      echo "$name did not stop in $stop_timeout_s s and is killed" >&2
      kill -KILL "$pid" 2>/dev/null || true
      stop_failed=1
    fi
    rm -f "$folder/pids/$name"
  done
}

stop_site() {
  local folder="$run_folder/$1" pattern
  [ -f "$folder/processes" ] || return 0
  # Stop each process before the ones it depends on.
  for pattern in '-gateway$' '-control$' '-(engine|service|store)-[0-9]+$' '^platform$'; do
    stop_processes "$folder" "$pattern"
  done
  echo "$1: stopped"
}

show_site() {
  local folder="$run_folder/$1" name module settings url state
  [ -f "$folder/processes" ] || { echo "$1: not started"; return 0; }
  while IFS=$'\t' read -r name module settings url; do
    state=stopped
    if [ -f "$folder/pids/$name" ]; then
      state=failed
      is_site_process "$(cat "$folder/pids/$name")" "$settings" && state=running
    fi
    printf '%-10s %-24s %-8s %s\n' "$1" "$name" "$state" "$url"
  done <"$folder/processes"
}

command="${1:-}"
shift || true
sites=("$@")
[ "${#sites[@]}" -gt 0 ] || sites=(pipi-tamu kimolia)
stop_failed=0
for site in "${sites[@]}"; do
  if [ ! -f "$sites_folder/$site/site.yaml" ]; then
    echo "unknown site $site; there is: $(ls "$sites_folder" | tr '\n' ' ')" >&2
    exit 2
  fi
  case "$command" in
    start) start_site "$site" || { stop_site "$site"; exit 1; } ;;
    stop) stop_site "$site" ;;
    status) show_site "$site" ;;
    *) echo "usage: deploy/local.sh start|stop|status [SITE...]" >&2; exit 2 ;;
  esac
done
exit "$stop_failed"
