#!/usr/bin/env bash
# Runs both example deployments as separate processes on loopback addresses: applies their configurations, sends traffic, kills one
# instance of each with SIGKILL, prints the status, and stops all processes gracefully. The last line has the totals of all requests.
set -euo pipefail
cd "$(dirname "$0")/.."
bin="${BUILD_DIR:-build}/bin"
run=$(mktemp -d)
traffic_ms="${DEMO_TRAFFIC_MS:-5000}"
declare -A pids=()
served=0 failed=0 unknown=0

cleanup() {
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    [ -n "${DEMO_KEEP_LOGS:-}" ] && echo "logs: $run" || rm -rf "$run"
}
trap cleanup EXIT

say() { printf '\n== %s\n' "$*"; }

# start NAME COMMAND...: starts a background process with its output in NAME.log.
start() {
    local name="$1"
    shift
    "$@" >"$run/$name.log" 2>&1 &
    pids[$name]=$!
}

# await WHAT COMMAND...: repeats a command until it succeeds, and ends the demo if it fails for 10 s.
await() {
    local what="$1"
    shift
    for _ in $(seq 200); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.05
    done
    echo "demo: timeout after 10 s while waiting for: $what" >&2
    tail -n 5 "$run"/*.log >&2
    exit 1
}

instance_settings() { # DEPLOYMENT ID DOMAIN ADDRESS NETWORK SEED...
    local deployment="$1" id="$2" domain="$3" address="$4" network="$5"
    shift 5
    local seeds
    seeds=$(printf '"%s:7100", ' "$@")
    cat >"$run/$id.toml" <<TOML
deployment = "$deployment"

[instance]
id = "$id"
failure_domain = "$domain"
new_id = true

[peer]
address = "$address:7100"
seeds = [${seeds%, }]

[data]
address = "$address:7200"
back_address = "$address:7201"
fabric_return_address = "127.$network.0.100:7300"

[platform]
address = "127.$network.0.101:7400"

[metrics]
address = "$address:7500"

[stop]
timeout_ms = 20000
TOML
}

# deployment NAME NETWORK INSTANCES_PER_DOMAIN SERVICES POOLS IDEMPOTENT_GROUP DOMAIN...
deployment() {
    local name="$1" network="$2" count="$3" services="$4" pools="$5" idempotent="$6"
    shift 6
    local domains=("$@")
    local platform="127.$network.0.101:7400" admin="127.$network.0.100:7301" data="" listed="" ids=() seeds=()
    for index in "${!domains[@]}"; do seeds+=("127.$network.1$((index + 1)).1"); done

    say "$name: platform, fabric and backend servers"
    start "$name-platform" "$bin/standin-platform" --address "$platform" --instance_lag_ms 500
    await "start of the platform" curl -sf "http://$platform/standin/counters"
    for pool in $pools; do
        start "$name-backend-$pool" "$bin/standin-backend" --config "examples/$name/config.toml" --pool "$pool"
    done
    for index in "${!domains[@]}"; do
        for number in $(seq "$count"); do
            local id="${domains[$index]}-$number" address="127.$network.1$((index + 1)).$number"
            instance_settings "$name" "$id" "${domains[$index]}" "$address" "$network" "${seeds[@]}"
            curl -sf -X PUT "http://$platform/standin/instances/$id" -d "{\"failure_domain\":\"${domains[$index]}\",\"peer_address\":\"$address:7100\",\"data_address\":\"$address:7200\"}" >/dev/null
            data+="${data:+,}$address:7200"
            ids+=("$id")
        done
    done
    start "$name-fabric" "$bin/standin-fabric" --services "$services" --instances "$data" \
        --return_address "127.$network.0.100:7300" --admin_address "$admin"

    say "$name: an invalid configuration is refused, with a list of all errors"
    sed 's/^pool = ".*"/pool = "no-such-pool"/; s/^failure_domain = .*/failure_domain = "no-such-domain"/; s/^slots = .*/slots = 0/' \
        "examples/$name/config.toml" >"$run/faulty.toml"
    if "$bin/samphirepitchctl" apply "$run/faulty.toml" --platform "$platform" >"$run/faulty.out" 2>&1; then
        echo "demo: the invalid configuration was accepted" >&2
        exit 1
    fi
    head -n 4 "$run/faulty.out"
    echo "... $(wc -l <"$run/faulty.out") lines"

    say "$name: apply the configuration, start ${#ids[@]} instances in ${#domains[@]} failure domains"
    "$bin/samphirepitchctl" apply "examples/$name/config.toml" --platform "$platform"
    for id in "${ids[@]}"; do start "$id" "$bin/samphirepitchd" --settings "$run/$id.toml"; done
    await "configuration in force on all instances of $name" in_force_everywhere "$platform"

    say "$name: traffic; ${ids[1]} is killed with SIGKILL after half of it"
    start "$name-load" "$bin/samphirepitch-load" run --scenario "examples/$name/load.toml" --duration_ms "$traffic_ms"
    sleep "$(awk "BEGIN { print $traffic_ms / 2000 }")"
    kill -KILL "${pids[${ids[1]}]}"
    unset "pids[${ids[1]}]"
    curl -sf -X DELETE "http://$platform/standin/instances/${ids[1]}" >/dev/null
    local left
    left=$(tr ',' '\n' <<<"$data" | sed 2d | paste -sd, | sed 's/[^,]*/"&"/g')
    curl -sf -X POST "http://$admin/standin/instances" -d "[$left]" >/dev/null
    local load_pid="${pids[$name-load]}"
    unset "pids[$name-load]"
    wait "$load_pid" || true
    tail -n 25 "$run/$name-load.log"
    add_up "$run/$name-load.log" "$idempotent"

    say "$name: status"
    "$bin/samphirepitchctl" status --platform "$platform" || true

    say "$name: the last events of all instances, in causal order"
    "$bin/samphirepitchctl" events --deployment "$name" --platform "$platform" | tail -n 6

    say "$name: graceful stop of all instances"
    for id in "${ids[@]}"; do
        if [ -n "${pids[$id]:-}" ]; then kill -TERM "${pids[$id]}"; fi
    done
    for id in "${ids[@]}"; do
        if [ -n "${pids[$id]:-}" ]; then
            wait "${pids[$id]}" || { echo "demo: $id failed during its graceful stop" >&2; exit 1; }
            unset "pids[$id]"
        fi
    done
    for process in fabric platform; do
        kill -TERM "${pids[$name-$process]}"
        unset "pids[$name-$process]"
    done
    for pool in $pools; do
        kill -TERM "${pids[$name-backend-$pool]}"
        unset "pids[$name-backend-$pool]"
    done
}

in_force_everywhere() { "$bin/samphirepitchctl" status --platform "$1" | grep -q 'in force everywhere'; }

# add_up LOG IDEMPOTENT_GROUP: adds the numbers in the last line of the load tool to the totals. A request of the idempotent group that
# was not served counts as failed, because its caller may repeat it until another instance responds.
add_up() {
    local line unserved
    unserved=$(awk -v group="$2" '$1 == group { print $2 - $3 }' "$1")
    [ -n "$unserved" ] || { echo "demo: the report of the load tool has no group $2" >&2; exit 1; }
    echo "idempotent requests that were not served: $unserved"
    failed=$((failed + unserved))
    line=$(grep '^load: ' "$1" | tail -n 1)
    served=$((served + $(sed -n 's/.*served=\([0-9]*\).*/\1/p' <<<"$line")))
    failed=$((failed + $(sed -n 's/.*failed=\([0-9]*\).*/\1/p' <<<"$line")))
    unknown=$((unknown + $(sed -n 's/.*unknown=\([0-9]*\).*/\1/p' <<<"$line")))
}

deployment dewnet 10 3 127.10.0.1:7000,127.10.0.2:7000 "pondwatch mapvault" tiles lokoja ajaokuta okene
deployment tugan-kun 20 2 127.20.0.1:7000,127.20.0.2:7000 "order-desk artwork" sheets $(sed -n '/failure_domain\]\]/{n;s/name = "\(.*\)"/\1/p}' examples/tugan-kun/config.toml)

echo
echo "demo: served=$served failed=$failed unknown=$unknown"
[ "$served" -gt 0 ] && [ "$failed" -eq 0 ]
