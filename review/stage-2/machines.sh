# Functions for the scripts of the cases: they start routers with the run line and the env table of
# deploy/system.toml, filled with the fields of a small deployment.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
tools=$root/target/review-2
pids=()

# Ends what this script has started.
end_all() {
    local it
    for it in "${pids[@]}"; do kill -9 "$it" 2>/dev/null; done
    for it in "${pids[@]}"; do wait "$it" 2>/dev/null; done
    pids=()
}

# fill TEXT: replaces the placeholders that the deploy file uses by the variables of start_router.
fill() {
    local text=$1
    text=${text//'{{ip}}'/$ip}
    text=${text//'{{zone}}'/$zone}
    text=${text//'{{listen.frontend}}'/$ip:$front_port}
    text=${text//'{{listen.readiness}}'/$ip:$ready_port}
    text=${text//'{{listen.admin}}'/$ip:$admin_port}
    text=${text//'{{internal_ports.0}}'/$peer_port}
    text=${text//'{{platform.address}}'/$store}
    text=${text//'{{seeds}}'/$seeds}
    text=${text//'{{limits.max_fds}}'/2870}
    text=${text//'{{bounds.retry_budget_ratio}}'/0.2}
    text=${text//'{{bounds.budget_slack}}'/104}
    text=${text//'{{bounds.retry_window_s}}'/10}
    text=${text//'{{bounds.warmup_overshoot}}'/1.5}
    text=${text//'{{bounds.warmup_tolerance}}'/5}
    text=${text//'{{bounds.cap_factor}}'/2}
    # Fields that the settings of the deployment do not have are filled with nothing.
    while [[ $text =~ ^(.*)\{\{[a-z_.0-9]+\}\}(.*)$ ]]; do
        text=${BASH_REMATCH[1]}${BASH_REMATCH[2]}
    done
    printf '%s' "$text"
}

# start_router IP ZONE LOG: starts a router; its process id is then in router_pid. Uses the
# variables store, seeds, front_port, ready_port, admin_port and peer_port.
start_router() {
    local ip=$1 zone=$2 log=$3 line environment=()
    while IFS= read -r line; do
        if [[ $line =~ ^([A-Z_]+)\ =\ \"(.*)\"$ ]]; then
            environment+=("${BASH_REMATCH[1]}=$(fill "${BASH_REMATCH[2]}")")
        fi
    done <"$root/deploy/system.toml"
    line=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/system.toml")
    local command
    read -r -a command <<<"$(fill "$line")"
    (cd "$root" && exec env -i PATH="$PATH" HOME="${HOME:-/}" LANG=C "${environment[@]}" \
        "${command[@]}" >"$log" 2>&1) &
    router_pid=$!
    pids+=("$router_pid")
}
