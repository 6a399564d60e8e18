#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Builds nothing but the stand-ins, if they are not built yet.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/review-standins
[ -x "$program" ] || bash review/build.sh >&2 || exit 2
[ -x target/release/pondwalk ] || { echo "target/release/pondwalk is not built" >&2; exit 2; }
timeout --signal=KILL 115 "$program" key "review/3"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
