#!/usr/bin/env bash
# Runs clang-tidy over the sources, or over the files given as arguments. Needs build/compile_commands.json.
# A file is skipped if it, all headers of the project, and the configuration are unchanged since it last passed.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD_DIR:-build}"
stamps="$build/lint"
mkdir -p "$stamps"
if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp')
fi
# Two types of one name in the namespace are merged by the linker without a word, and crash at run time.
twice=$(git ls-files -z --cached --others --exclude-standard 'src/*.h' 'standins/*.h' | xargs -0 grep -hE '^(class|struct|enum class) [A-Z]' |
    grep -v ';$' | sed -E 's/^(class|struct|enum class) ([A-Za-z]+).*/\2/' | sort | uniq -d)
if [ -n "$twice" ]; then
    echo "lint: defined more than once: $twice"
    exit 1
fi

headers=$(git ls-files -z --cached --others --exclude-standard '*.h' .clang-tidy | xargs -0 cat | sha256sum | cut -c1-16)

# The compilation database is GCC's: clang-tidy gets no precompiled header, and clang 14 does not announce
# the coroutines that it has.
sed -E 's/-Winvalid-pch//g; s/-include [^ ]*cmake_pch\.hxx//g; s/-fpch-preprocess//g' "$build/compile_commands.json" >"$stamps/compile_commands.json"

check() {
    local file="$1" key
    key="$(printf '%s' "$file" | tr '/' '_').$(sha256sum <"$file" | cut -c1-16).$2"
    [ -e "$3/$key" ] && return 0
    if clang-tidy -p "$3" --quiet --extra-arg=-D__cpp_impl_coroutine=201902L --extra-arg=-DASIO_HAS_CO_AWAIT \
        --extra-arg=-DASIO_HAS_STD_COROUTINE --extra-arg=-Wno-everything "$file" >"$3/$key.log" 2>&1; then
        rm -f "$3/$key.log"
        : >"$3/$key"
    else
        grep -v 'warnings generated' "$3/$key.log"
        rm -f "$3/$key.log"
        return 1
    fi
}
export -f check
printf '%s\0' "${files[@]}" | xargs -0 -P "$(nproc)" -I{} bash -c 'check "$@"' _ {} "$headers" "$stamps"
