#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
[ -x ../../target/bin/rhubarbcrank-jobs ] || exit 2
export PYTHONDONTWRITEBYTECODE=1
# What was sent, answered and run is written to record.txt in this folder.
exec python3 scenario.py record.txt
