#!/usr/bin/env bash
# Builds the programs of the cases, which hold the stand-ins that the scripts use, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cc; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -pthread "$source" -o "target/review/case-$number"
done
