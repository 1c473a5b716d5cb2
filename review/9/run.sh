#!/usr/bin/env bash
# Plays the case against target/bin/rhubarbcrank-jobs, after review/build-2.sh; writes record.txt beside this file.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. TROUBLE=0: no disruption.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
[ -x target/bin/rhubarbcrank-jobs ] && [ -x target/review-2/bin/review-case ] || exit 2
timeout --kill-after=2 115 target/review-2/bin/review-case rack-crashes target/bin/rhubarbcrank-jobs "$folder/record.txt"
status=$?
[ $status -le 2 ] || status=2
exit $status
