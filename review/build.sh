#!/usr/bin/env bash
# The stand-ins are Python programs of the standard library; this checks that they can be run.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 9) else "Python 3.9 or later is needed")'
for it in standins/*.py */scenario.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$it"
done
