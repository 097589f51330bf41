#!/usr/bin/env bash
# Builds the stand-ins and the programs of the second review into
# review/standins-2/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/standins-2/bin
for source in review/[456]/*.cc; do
  [[ -e $source ]] || continue
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -I . \
    "$source" review/standins-2/*.cc \
    -o "review/standins-2/bin/$(basename "$source" .cc)"
done
