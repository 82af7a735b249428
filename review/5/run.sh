#!/usr/bin/env bash
# Plays the case. Exit: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin ] && [ -x target/sassafraspass ] || { echo "run review/build.sh first" >&2; exit 2; }
exec target/review-standin -case deadly-part -record review/5/record.txt
