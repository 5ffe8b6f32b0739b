#!/usr/bin/env bash
# 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
home=$(cd "$(dirname "$0")" && pwd)
cd "$home/../.." || exit 2
program="target/review-3/case-$(basename "$home")"
[ -x "$program" ] && [ -x target/daemon/daisystreamd ] || { echo "run the build of the deploy file and review/build-3.sh first" >&2; exit 2; }
timeout -k 1 118 "$program" "review/$(basename "$home")"
code=$?
case $code in 0|1) exit $code;; *) exit 2;; esac
