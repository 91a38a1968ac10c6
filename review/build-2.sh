#!/usr/bin/env bash
# Builds the stand-ins of the scripts of cases 6 to 10 into review/bin. Needs only what
# the deploy file names: g++ and nlohmann-json3-dev.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for N in 6 7 8 9 10; do
  [ -f "$N/case.cpp" ] || continue
  g++ -std=c++20 -O2 -Wall -Wextra -pthread "$N/case.cpp" -o "bin/case-$N"
done
