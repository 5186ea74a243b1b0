#!/usr/bin/env bash
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[[ -x target/review/case-5 && -x target/release/medlarfall-relay ]] || exit 2
# At the time limit, all processes of the case get the signal.
timeout -k 2 100 target/review/case-5
result=$?
[[ $result == 0 || $result == 1 ]] || result=2
exit $result
