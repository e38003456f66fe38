#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, into target/review/. Needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -c review/stage/stage.cpp -o target/review/stage.o
for it in review/stage/*.cpp; do
    name=$(basename "$it" .cpp)
    [ "$name" = stage ] && continue
    g++ -std=c++20 -O1 "$it" target/review/stage.o -o "target/review/$name" -pthread
done
