#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10 into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-2
"${CXX:-c++}" -std=c++20 -O1 -DASIO_STANDALONE -o target/review-2/scenario review/standin-2/scenario.cpp -pthread
