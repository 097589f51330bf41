# Sourced by the run.sh of a case. Sets up a temporary folder and free ports,
# starts the daemons with the command and the template of the deploy file, and
# ends all processes at exit.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
case_folder=$(cd "$(dirname "$0")" && pwd)
folder=$(mktemp -d)
pids=()

# Kills the daemons of supervise() too; their supervisors go first.
stop_all() {
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  for file in "$folder"/*.pid; do
    if [[ -e $file ]]; then kill -KILL "$(<"$file")" 2>/dev/null || true; fi
  done
  rm -rf "$folder"
}
trap stop_all EXIT
trap 'exit 2' TERM INT HUP

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

# add_logs: what the daemons wrote last goes into the record, for a case that
# could not run.
add_logs() {
  for log in "$folder"/*.out "$folder"/*.log; do
    [[ -e $log ]] || continue
    echo "== ${log##*/}"
    tail -n 20 "$log"
  done >>"$case_folder/record.txt"
}

# start_daemon NAME FILE: as deploy/system.toml says, from the repository's root.
start_daemon() {
  (cd "$root" && exec target/src/medlarspread serve --settings "$2") \
    >>"$folder/$1.out" 2>>"$folder/$1.log" &
  pids+=("$!")
}

# supervise NAME FILE: starts the daemon, and starts it again each time that it
# has ended, as the platform does. NAME.pid in the folder has its process.
supervise() {
  (
    while true; do
      (cd "$root" && exec target/src/medlarspread serve --settings "$2") \
        >>"$folder/$1.out" 2>>"$folder/$1.log" &
      echo "$!" >"$folder/$1.pid"
      wait "$!" || true
      sleep 0.1
    done
  ) &
  pids+=("$!")
}
