#!/usr/bin/env bash
# Runs the tests of one topic: test-topic.sh BINARY TOPIC SEED. Test cases listed in KNOWN-RED.txt are printed and skipped; all others
# must pass.
set -euo pipefail
binary="$1" topic="$2" seed="$3"
filter="[$topic]"
known="$(dirname "$0")/../KNOWN-RED.txt"
while IFS= read -r name; do
    echo "known-red: $name"
    escaped=$(printf '%s' "$name" | sed 's/[][,\\]/\\&/g')
    filter="$filter~\"$escaped\""
done < <(sed -n 's/^test: //p' "$known")
exec "$binary" "$filter" --rng-seed "$seed" --warn NoTests
