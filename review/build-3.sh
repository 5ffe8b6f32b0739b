#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15 into target/review-3/. The daemon is that of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.cc; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -I. "$source" -o "target/review-3/case-$number" -pthread
done
