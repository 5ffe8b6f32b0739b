#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/, after the build of the deploy file: the project's stand-in of the store, and a
# program for each case with a script.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f target/build.ninja ] || cmake -S . -B target -G Ninja
cmake --build target --target standin_fleet
mkdir -p target/review-2
for source in review/6/case.cc review/7/case.cc review/8/case.cc review/9/case.cc review/10/case.cc; do
    [ -f "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -pthread -Ireview "$source" -o "target/review-2/case-$number"
done
