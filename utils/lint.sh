#!/usr/bin/env bash
# Runs clang-tidy on the named sources, or on all of the tree, and ends 0 when all are clean.
# usage: lint.sh [FILE.cpp...]     needs build/release/compile_commands.json
#        lint.sh --key             prints the key of clang-tidy and its settings, forgets old results
# A clean result is kept under a key of the file's contents, those of every header that it includes,
# its compile commands, the settings and clang-tidy itself. Results with a finding aren't kept.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 1
cache=${CURRANTWALK_LINT_CACHE:-${XDG_CACHE_HOME:-${HOME:-/tmp}/.cache}/currantwalk/lint}
database=build/release/compile_commands.json

lint_sources() {
    git ls-files --cached --others --exclude-standard '*.cpp' | grep -v 'fuzz\.cpp$' | sort -u \
        | while IFS= read -r file; do [ -f "$file" ] && echo "$file"; done
}

# tool_key: what clang-tidy is and how it is set, for all files.
tool_key() {
    clang-tidy --version
    sha256sum <"$(readlink -f "$(command -v clang-tidy)")"
    git ls-files --cached --others '.clang-tidy' '*/.clang-tidy' | sort -u | xargs -r sha256sum
    sha256sum <"${BASH_SOURCE[0]}"
}

# commands_of FILE: its compile commands, without the compiler and the output file.
commands_of() {
    grep -B 1 -F "\"file\": \"$PWD/$1\"" "$database" | sed -n 's/^ *"command": "\(.*\)",$/\1/p' \
        | sed 's/\\"/"/g; s/\\\\/\\/g; s/^[^ ]* //; s/ -o [^ ]* -c / /' | sort -u
}

# inputs_of FILE: hashes of the file and of all that it includes; fails where they can't be told.
inputs_of() {
    local commands command
    commands=$(commands_of "$1")
    [ -n "$commands" ] || return 1
    echo "$commands"
    while IFS= read -r command; do
        (cd build/release && eval "clang++ -w -M $command") || return 1
    done <<<"$commands" | sed 's/^[^ ]*\.o: *//; s/\\$//' | tr -s ' ' '\n' | sed '/^$/d' | sort -u | xargs sha256sum
}

# key_of FILE: prints the key; the place of the clone isn't part of it.
key_of() {
    local inputs
    inputs=$(inputs_of "$1" 2>/dev/null) || return 1
    { echo "$1 $LINT_TOOL_KEY"; clang-tidy -p build/release --dump-config "$1" 2>/dev/null; echo "$inputs" | sed "s|$PWD/||g"; } \
        | sha256sum | cut -d ' ' -f 1
}

# lint_file FILE: prints the findings; a file without a key is always read.
lint_file() {
    local key output status
    key=$(key_of "$1") || key=
    if [ -n "$key" ] && [ -e "$cache/$key" ]; then
        touch -c "$cache/$key"
        return 0
    fi
    output=$(clang-tidy -p build/release --quiet "$1" 2>&1)
    status=$?
    output=$(grep -vE '^[0-9]+ warnings? generated' <<<"$output" | sed '/^$/d')
    if [ "$status" -ne 0 ] || [ -n "$output" ]; then
        printf '%s\n' "$1: clang-tidy ended with $status" "$output"
        return "$status"
    fi
    # The file may have changed meanwhile.
    [ -n "$key" ] && [ "$(key_of "$1")" = "$key" ] && mkdir -p "$cache" && : >"$cache/$key"
    return 0
}

if [ "${1:-}" = --key ]; then
    [ -d "$cache" ] && find "$cache" -type f -mtime +30 -delete
    tool_key | sha256sum | cut -d ' ' -f 1
    exit
fi
export LINT_TOOL_KEY=${LINT_TOOL_KEY:-$(tool_key | sha256sum | cut -d ' ' -f 1)}
[ -f "$database" ] || { echo "lint: $database is missing: cmake --preset release" >&2; exit 1; }
if [ "$#" -eq 1 ]; then
    lint_file "$1"
    exit
fi
if [ "$#" -eq 0 ]; then
    mapfile -t files < <(lint_sources)
else
    files=("$@")
fi
[ "${#files[@]}" -gt 0 ] || { echo "lint: no source found" >&2; exit 1; }
printf '%s\n' "${files[@]}" | xargs -P "${JOBS:-$(nproc)}" -n 1 "${BASH_SOURCE[0]}"
