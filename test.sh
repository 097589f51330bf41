#!/usr/bin/env bash
# Installs what the build needs, builds everything and runs all tests.
set -euo pipefail
cd "$(dirname "$0")"
scripts/build
ctest --test-dir build --output-on-failure --parallel 6 "$@"
