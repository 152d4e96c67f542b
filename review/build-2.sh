#!/bin/bash
# Builds the stand-ins of the cases 4 to 8. The system itself is built by the deploy file.
set -e
cd "$(dirname "$0")/standin-2"
mkdir -p build
for it in crash_loop starved_task late_upkeep killed_by_upkeep; do
    ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -o "build/$it" "tests/$it.cpp" -pthread
done
