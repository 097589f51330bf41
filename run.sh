#!/usr/bin/env bash
# Builds the system, starts a small one of it on loopback (a stand-in platform,
# stand-in leaves of two collections, three daemons), sets targets, sends
# queries through two daemons, shows the answers, the status and the burn
# report, stops everything gracefully and exits 0.
set -euo pipefail
cd "$(dirname "$0")"
scripts/build >build.log 2>&1 || { tail -50 build.log; exit 1; }
exec scripts/demo
