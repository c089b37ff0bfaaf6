#!/usr/bin/env bash
# Builds the stand-ins of the review's cases. Needs only the compiler.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
g++ -std=c++20 -O1 -Wall -Wextra -o bin/rig rig.cc
