#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/stale_endpoint ] && [ -x target/src/mangovane-platform ] || exit 2
exec target/review/stale_endpoint review/2/record.txt
