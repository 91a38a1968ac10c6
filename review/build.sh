#!/usr/bin/env bash
# Builds the stand-ins of the scripts under review/ into review/bin. Needs only what
# the deploy file names: g++ and nlohmann-json3-dev.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for Source in [1-5]/case.cpp; do
  [ -f "$Source" ] || continue
  g++ -std=c++20 -O2 -Wall -Wextra -pthread "$Source" -o "bin/case-${Source%%/*}"
done
