#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. With TROUBLE=0 there is no disruption. MEDLARSPREAD names another build
# of the daemon.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
program=${MEDLARSPREAD:-target/src/medlarspread}
scenario=review/standins-2/bin/late_removal
[[ -x $program && -x $scenario ]] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 "$scenario" "$program" "$folder" review/6/record.txt \
  "${TROUBLE:-1}"
status=$?
((status <= 2)) || status=2
if [[ -n ${KEEP_LOGS:-} ]]; then cp "$folder"/*.log "$KEEP_LOGS"; fi
exit "$status"
