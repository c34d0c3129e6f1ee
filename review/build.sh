#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin. Needs the packages of the project only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [1-3]/*.cpp more/*/*.cpp; do
    program=bin/$(basename "$source" .cpp)
    newest=$(ls -t "$source" support/*.h | head -n 1)
    if [[ ! "$program" -nt "$newest" ]]; then
        g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "$program.new"
        mv "$program.new" "$program"
    fi
done
