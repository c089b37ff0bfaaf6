#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/, beside the program of the deploy file. They use nlohmann-json3-dev, which the
# deploy file declares.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra review/rig-2.cc -o target/review-2/rig-2 -pthread
