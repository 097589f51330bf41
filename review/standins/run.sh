# Sourced by the run.sh of a case. Sets up a temporary folder and free ports,
# starts the daemons with the command and the template of the deploy file, and
# ends all processes at exit.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
case_folder=$(cd "$(dirname "$0")" && pwd)
folder=$(mktemp -d)
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$folder"
}
trap stop_all EXIT

# could_not_run TEXT
could_not_run() {
  echo "$1" | tee -a "$case_folder/record.txt"
  exit 2
}

for program in target/src/medlarspread review/bin/ports; do
  [[ -x $root/$program ]] || could_not_run "$program is not built"
done

# settings NAME ZONE CALLER READY CONTROL QUERY METRICS SEEDS STORE: the
# template of the deploy file, filled as DEPLOY.md says.
settings() {
  sed -e "s|{{node}}|$1|" \
    -e "s|{{zone}}|$2|" \
    -e "s|{{region}}|region-${2#hall-}|" \
    -e "s|{{#zones}}.*{{/zones}}|hall-1=region-1,hall-2=region-2,hall-3=region-3|" \
    -e "s|{{limits.cpu_share}}|0.25|" \
    -e "s|{{listen.front}}|127.0.0.1:$3|" \
    -e "s|{{listen.ready}}|127.0.0.1:$4|" \
    -e "s|{{listen.control}}|127.0.0.1:$5|" \
    -e "s|{{ip}}:{{port_range.0}}|127.0.0.1:$6|" \
    -e "s|{{ip}}:9464|127.0.0.1:$7|" \
    -e "s|{{seeds}}|$8|" \
    -e "s|{{platform.addr}}|127.0.0.1:$9|" \
    -e "s|{{bounds.grace_s}}|6|" \
    -e "s|{{bounds.retry_ratio}}|0.2|" \
    -e "s|{{bounds.retry_slack}}|52|" \
    -e "s|{{bounds.retry_window_s}}|10|" \
    "$root/deploy/daemon.ini.template"
}

# start_daemon NAME FILE: as deploy/system.toml says, from the repository's root.
start_daemon() {
  (cd "$root" && exec target/src/medlarspread serve --settings "$2") \
    >>"$folder/$1.out" 2>>"$folder/$1.log" &
  pids+=("$!")
}
