#!/usr/bin/env bash
# Builds the stand-ins of the cases 9 and 10 into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
"${CXX:-c++}" -std=c++20 -O1 -g -pthread -o target/review-3/review_case review/standin-3/tests/case.cpp
