#!/usr/bin/env bash
# Runs the soak test: soak.sh SEEDS [FIRST] [JOBS] for SEEDS consecutive seeds, or soak.sh FILE [FIRST] [JOBS] for the seeds at the start
# of each line of a file (as CI does). Each seed determines a schedule of faults for a deployment of separate processes. A seed with
# "+links" also has faults on the links of instances to each other, and one with "+restore" (after "+links" if it has both) a store that
# returns from older copies; one with "+odd" has odd entries of another writer, one with "+foreign" sound ones, with "+ports" clients use their
# ports again, with "+evacuations" failure domains are evacuated, and with "+routes" a route is removed and put back, in this order. All seeds
# that are not from a file have these.
# Prints one line for each seed, and keeps the logs of the runs that violated an invariant in run/soak/.
set -euo pipefail
cd "$(dirname "$0")/.."
jobs="${3:-4}"
if [ -f "$1" ]; then
    # Seeds listed in KNOWN-RED.txt are printed and skipped; all others must pass.
    mapfile -t known < <(sed -n 's/^soak-seed: //p' KNOWN-RED.txt)
    for seed in "${known[@]}"; do
        echo "known-red: soak seed $seed"
    done
    mapfile -t seeds < <(grep -oE '^[0-9]+(\+links)?(\+restore)?(\+odd)?(\+foreign)?(\+ports)?(\+evacuations)?(\+routes)?' "$1" | grep -vxFf <(printf '%s\n' "${known[@]}" none))
else
    first="${2:-$(date +%s)}"
    mapfile -t seeds < <(seq -f '%.0f+links+restore+odd+foreign+ports+evacuations+routes' "$first" $((first + $1 - 1)))
fi
export bin="${BUILD_DIR:-build}/bin" logs="run/soak"
mkdir -p "$logs"
networks=31 # concurrent runs use different loopback networks

play() {
    local seed="$1" network="$2" folder="$logs/$1"
    rm -rf "$folder"
    if timeout 60 "$bin/samphirepitch-soak" --program "$bin/samphirepitchd" --folder "$folder" --seed "${seed%%+*}" \
        --network "$network" "--peer_links=$([[ $seed == *+links* ]] && echo true || echo false)" \
        "--store_restores=$([[ $seed == *+restore* ]] && echo true || echo false)" \
        "--odd_entries=$([[ $seed == *+odd* ]] && echo true || echo false)" \
        "--foreign_entries=$([[ $seed == *+foreign* ]] && echo true || echo false)" \
        "--reused_ports=$([[ $seed == *+ports* ]] && echo true || echo false)" \
        "--evacuations=$([[ $seed == *+evacuations* ]] && echo true || echo false)" \
        "--restored_routes=$([[ $seed == *+routes ]] && echo true || echo false)" >"$folder.out" 2>&1; then
        rm -rf "$folder"
        tail -n 1 "$folder.out"
    else
        cat "$folder.out"
        tail -n 1 "$folder.out" | grep -q '^soak: ' || echo "soak: seed=$seed red (it did not end)"
    fi
}
export -f play
for index in "${!seeds[@]}"; do
    echo "${seeds[index]} $((index % networks))"
done | xargs -P "$jobs" -L 1 bash -c 'play "$@"' _ | tee "$logs/last.out"
held=$(grep -c '^soak: seed=.* held' "$logs/last.out" || true)
red=$((${#seeds[@]} - held))
echo "soak: seeds=${#seeds[@]} held=$held red=$red"
[ "$red" -eq 0 ]
