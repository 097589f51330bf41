#!/usr/bin/env bash
# Case 1: a request that must not run twice, and a rejection that a leaf sends
# twice. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0: no answer is sent twice.
set -euo pipefail
source "$(dirname "$0")/../standins/run.sh"
[[ -x $root/review/bin/scenario-1 ]] || could_not_run "build review/ first"

daemons=3
mapfile -t ports < <("$root/review/bin/ports" $((1 + 5 * daemons)))
store=${ports[0]}
arguments=()
for ((index = 0; index < daemons; ++index)); do
  own=("${ports[@]:1+5*index:5}")
  name=front-hall-$((index + 1))-1
  settings "$name" "hall-$((index + 1))" "${own[@]}" "127.0.0.1:${ports[3]}" \
    "$store" >"$folder/$name.ini"
  arguments+=("${own[0]}:${own[1]}")
done
"$root/review/bin/scenario-1" "$case_folder/record.txt" "$store" \
  "${TROUBLE:-1}" "${arguments[@]}" &
scenario=$!
pids+=("$scenario")
for ((index = 0; index < daemons; ++index)); do
  name=front-hall-$((index + 1))-1
  start_daemon "$name" "$folder/$name.ini"
done
result=0
wait "$scenario" || result=$?
((result == 2)) && add_logs
exit "$result"
