#!/usr/bin/env bash
# Runs the benchmarks. "quick" prints one line for each benchmark and takes less than 50 s. "full" also measures the control traffic
# of up to 64 instances (about 3 minutes) and writes all lines to docs/measurements/.
set -euo pipefail
cd "$(dirname "$0")/.."
load="${BUILD_DIR:-build}/bin/samphirepitch-load"
started=$(date +%s)

run_all() {
    echo "bench: name=run commit=$(git rev-parse --short HEAD 2>/dev/null || echo unknown) cores=$(nproc) mode=$1"
    "$load" relay-bench
    "$load" relay-bench --relay_window 16
    "$load" capacity-bench --seed 1
    if [ "$1" = full ]; then "$load" control-bench --seed 1; fi
    echo "bench: name=run seconds=$(($(date +%s) - started))"
}

if [ "${1:-quick}" = full ]; then
    run_all full | tee "docs/measurements/bench-$(date +%F).txt"
else
    run_all quick
fi
