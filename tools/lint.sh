#!/usr/bin/env bash
# Runs clang-tidy on all sources, or on the files given as arguments. Requires build/compile_commands.json.
# A file is skipped if the file, all headers of the project and .clang-tidy are unchanged since it last passed.
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
# Two types of the same name in one namespace violate the one-definition rule. The linker merges them
# silently, and the program crashes at run time.
twice=$(git ls-files -z --cached --others --exclude-standard 'src/*.h' 'standins/*.h' | xargs -0 grep -hE '^(class|struct|enum class) [A-Z]' |
    grep -v ';$' | sed -E 's/^(class|struct|enum class) ([A-Za-z]+).*/\2/' | sort | uniq -d)
if [ -n "$twice" ]; then
    echo "lint: types defined more than once: $twice"
    exit 1
fi

headers=$(git ls-files -z --cached --others --exclude-standard '*.h' .clang-tidy | xargs -0 cat | sha256sum | cut -c1-16)

# The compilation database is for GCC. clang-tidy can't use GCC's precompiled header, and clang 14 has coroutines but does not
# announce them in its feature macros.
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
