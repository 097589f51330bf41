#!/usr/bin/env bash
# Builds the stand-ins of the scripts into review/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
flags=(-std=c++20 -O1 -Wall -Wextra -I. -pthread)
g++ "${flags[@]}" review/standins/ports.cc -o review/bin/ports
for scenario in review/[0-9]/scenario.cc; do
  number=$(basename "$(dirname "$scenario")")
  g++ "${flags[@]}" "$scenario" review/standins/{http,store,leaf,caller,fleet}.cc \
    -o "review/bin/scenario-$number"
done
