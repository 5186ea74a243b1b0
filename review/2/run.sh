#!/usr/bin/env bash
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[[ -x target/review/case-2 && -x target/release/medlarfall-relay ]] || exit 2
exec timeout -k 5 110 target/review/case-2
