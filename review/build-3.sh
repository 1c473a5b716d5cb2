#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -Wall -Wextra -o target/review-3/world review/standins-3/main.cpp review/standins-3/world.cpp \
    -lboost_json -pthread
