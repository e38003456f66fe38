#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/slow_stream ] && [ -x target/src/mangovane-platform ] || exit 2
exec target/review/slow_stream review/3/record.txt
