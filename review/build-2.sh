#!/bin/sh
# Builds the stand-ins that the scripts of the second review start, into build-review-2/. Needs the
# compiler only; the program under test is built by the command of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p build-review-2
compile="${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread -I review/support-2"
$compile -c review/support-2/harness.cpp -o build-review-2/harness.o
for source in review/[4-8]/case.cpp; do
    test -e "$source" || continue
    number=$(basename "$(dirname "$source")")
    $compile "$source" build-review-2/harness.o -o "build-review-2/case-$number"
done
