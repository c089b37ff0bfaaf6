#!/usr/bin/env bash
# Plays mutated inputs against each decoder: fuzz.sh CASES SEED [SANITIZE]. Builds the tests, with sanitizers in build-sanitize/ if the
# third argument is not empty. The last line tells cases and seed.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD_DIR:-build}"
sanitize=OFF
if [ -n "${3:-}" ]; then
    build=build-sanitize
    sanitize=ON
fi
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DSAMPHIREPITCH_SANITIZE=$sanitize >/dev/null
cmake --build "$build" --target samphirepitch-tests
export SAMPHIREPITCH_FUZZ_CASES="$1" SAMPHIREPITCH_FUZZ_SEED="$2"
"$build/samphirepitch-tests" "[fuzz]"
echo "fuzz: cases=$1 seed=$2 sanitizers=$sanitize held"
