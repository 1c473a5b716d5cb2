#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review into target/review-2/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-2 -B target/review-2 -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review-2 -j6 --target review-case
