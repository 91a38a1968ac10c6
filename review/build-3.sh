#!/usr/bin/env bash
# Builds the stand-ins of the third review, after the build of the deploy file,
# whose folder it uses.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for Name in recover leaving; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "review/standin-3/$Name.cpp" \
    -o "target/review-3/$Name"
done
