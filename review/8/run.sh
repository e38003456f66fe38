#!/usr/bin/env bash
# One router and two engines whose streams have no length and end with their connection. One engine
# leaves, and the machine of the router gets SIGTERM; the engine exits when its last stream has ended.
# TROUBLE=0: neither; 2: the engine alone; 3: the SIGTERM alone.
# Exits with 1 if a stream that its engine had finished didn't end as complete, 0 if each did, 2 if
# the case could not run.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../stage-2/machines.sh"
scratch=$(mktemp -d)
trap 'end_all; rm -rf "$scratch"' EXIT
[ -x "$tools/pause" ] && [ -x "$tools/stream-engine" ] && [ -x "$tools/free-ports" ] || exit 2

mapfile -t port < <("$tools/free-ports" 6)
[ ${#port[@]} -eq 6 ] || exit 2
front_port=${port[0]} ready_port=${port[1]} admin_port=${port[2]} peer_port=${port[3]}
store=127.0.9.1:${port[4]}
seeds=127.0.1.1:$admin_port

engines=''
for n in 1 2; do engines+=${engines:+,}127.0.8.$n:${port[5]}; done

start_router 127.0.1.1 zone-a "$scratch/router.log"
"$tools/pause" leave "$here/record.txt" "${TROUBLE:-1}" "$store" \
    "$engines" "127.0.1.1:$front_port" "127.0.1.1:$ready_port" \
    "$router_pid" "$tools/stream-engine" &
stage=$!
pids+=("$stage")
wait "$stage"
code=$?
[ -z "${KEEP_LOGS:-}" ] || cp "$scratch"/*.log "$KEEP_LOGS"
[ "$code" -le 1 ] || code=2
exit "$code"
