#!/usr/bin/env bash
# Installs the Debian packages below that are missing; uses sudo unless it runs as root.
set -euo pipefail
packages=(
    git g++ make cmake ninja-build ccache clang-format clang-tidy
    libasio-dev libboost-dev libmsgpack-cxx-dev libgflags-dev liblog4cxx-dev
    libexpected-dev libtrompeloeil-cpp-dev catch2 libtomlplusplus-dev
    curl nlohmann-json3-dev libhttp-parser-dev libxxhash-dev libmpack-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo="sudo"
export DEBIAN_FRONTEND=noninteractive
$sudo apt-get update -qq
$sudo apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
