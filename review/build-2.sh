#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/stage-2"
out=../../target/review-2
mkdir -p "$out"
for it in *.cpp; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "$out/${it%.cpp}" "$it"
done
