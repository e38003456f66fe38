#!/usr/bin/env bash
# Three routers and three engines, one in each of three zones. An operator evacuates a zone, takes
# that back, the store has a drill (not with TROUBLE=0), and the operator evacuates the zone again.
# Exits with 1 if EVAC was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/machines.sh"
scratch=$(mktemp -d)
trap 'end_all; rm -rf "$scratch"' EXIT
[ -x "$tools/evacuation" ] && [ -x "$tools/free-ports" ] || exit 2

mapfile -t port < <("$tools/free-ports" 6)
[ ${#port[@]} -eq 6 ] || exit 2
front_port=${port[0]} ready_port=${port[1]} admin_port=${port[2]} peer_port=${port[3]}
store=127.0.9.1:${port[4]}
seeds=127.0.1.1:$admin_port,127.0.2.1:$admin_port,127.0.3.1:$admin_port
engines='' routers=''
for n in 1 2 3; do
    zone=zone-$(printf '%s' abc | cut -c "$n")
    engines+=${engines:+,}$zone=127.0.8.$n:${port[5]}
    routers+=${routers:+,}$zone=127.0.$n.1:$front_port/127.0.$n.1:$ready_port
done

"$tools/evacuation" "$scratch/record.txt" "${TROUBLE:-1}" "$store" "$engines" "$routers" &
stage=$!
pids+=("$stage")
sleep 0.3
for n in 1 2 3; do
    start_router "127.0.$n.1" "zone-$(printf '%s' abc | cut -c "$n")" "$scratch/router-$n.log"
done
wait "$stage"
code=$?
[ -z "${KEEP_LOGS:-}" ] || cp "$scratch"/*.log "$KEEP_LOGS"
[ "$code" -le 1 ] || code=2
exit "$code"
