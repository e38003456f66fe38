#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# MODE=partial and MODE=head: the engines crash before their first event is complete; the rules hold.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/crashing_part ] && [ -x target/src/mangovane-platform ] || exit 2
MODE=${MODE:-event} exec target/review/crashing_part review/4/record.txt
