#!/usr/bin/env bash
# Case 2: a daemon starts while the pages of a stale read differ in age. Exits
# with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: the same changes, but no daemon is stopped.
set -euo pipefail
source "$(dirname "$0")/../standins/run.sh"
[[ -x $root/review/bin/scenario-2 ]] || could_not_run "build review/ first"

daemons=3
mapfile -t ports < <("$root/review/bin/ports" $((1 + 5 * daemons)))
store=${ports[0]}
arguments=()
for ((index = 0; index < daemons; ++index)); do
  own=("${ports[@]:1+5*index:5}")
  settings "front-hall-1-$((index + 1))" hall-1 "${own[@]}" \
    "127.0.0.1:${ports[3]}" "$store" >"$folder/$index.ini"
  arguments+=("${own[0]}:${own[1]}")
done
"$root/review/bin/scenario-2" "$case_folder/record.txt" "$store" \
  "${TROUBLE:-1}" "$folder" "${arguments[@]}" &
scenario=$!
pids+=("$scenario")
for ((index = 0; index < daemons; ++index)); do
  supervise "$index" "$folder/$index.ini"
done
result=0
wait "$scenario" || result=$?
((result == 2)) && add_logs
exit "$result"
