#!/usr/bin/env bash
# Runs one scenario of the second review: run-2.sh SCENARIO FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
# could not run. With TROUBLE=0, the disruption is left out.
set -uo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
rig="$root/target/review-2/rig-2"
[ -x "$rig" ] && [ -x "$root/target/bin/samphirepitchd" ] || { echo "build the deploy file and review/build-2.sh first"; exit 2; }
temporary="$(mktemp -d)"
trap 'rm -rf "$temporary"' EXIT
timeout -k 2 116 "$rig" "$1" "$root" "$temporary" "$2/record.txt"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
