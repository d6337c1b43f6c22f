#!/usr/bin/env bash
# Installs, builds, checks format and lint, runs every test in release and under sanitizers.
# Ends on the line 'N passed, N failed'. Tests named in KNOWN-RED.txt are printed, not counted.
# usage: check.sh [--quick]     --quick leaves out lint, the sanitizer build, fuzzing and the demo
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

quick=no
[ "${1:-}" = --quick ] && quick=yes
passed=0
failed=0
jobs=$(nproc)
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
started=$SECONDS

ok() { passed=$((passed + ${2:-1})); echo "pass: $1 [$((SECONDS - started)) s]"; }
bad() { failed=$((failed + ${2:-1})); echo "FAIL: $1 [$((SECONDS - started)) s]"; }
finish() { echo "$passed passed, $failed failed"; [ "$failed" -eq 0 ]; exit; }

is_known_red() { [ -f KNOWN-RED.txt ] && grep -qF "$1" KNOWN-RED.txt; }

# run_step NAME COMMAND...: one check that passes when the command ends 0.
run_step() {
    local name=$1
    shift
    if "$@" >"$out/step.log" 2>&1; then
        ok "$name"
        return 0
    fi
    tail -n 60 "$out/step.log"
    if is_known_red "$name"; then
        echo "known red: $name"
    else
        bad "$name"
    fi
    return 1
}

test_programs() { find "build/$1/src" "build/$1/platform" -maxdepth 2 -name '*Tests' -type f -perm -u+x | sort; }

# list_groups PRESET: prints each test program with each of its test groups.
list_groups() {
    local program
    while IFS= read -r program; do
        "$program" -lg | tr ' ' '\n' | sed '/^$/d' | sort -u | sed "s|^|$program |"
    done < <(test_programs "$1")
}

# run_group PROGRAM GROUP DIRECTORY: runs one group of tests; its output and exit code go to files.
run_group() {
    local name
    name="$3/$(basename "$1").$2"
    "$1" -sg "$2" >"$name.log" 2>&1
    echo $? >"$name.code"
}
export -f run_group

# start_tests PRESET: runs the groups of the test programs, several at once, beside the steps that
# follow. Each group is a process of its own, as a few long ones take most of the time.
start_tests() {
    local results=$out/$1
    mkdir -p "$results"
    list_groups "$1" | xargs -P "$jobs" -n 2 bash -c 'run_group "$2" "$3" "$1"' _ "$results" &
    tests=$!
}

# report_tests PRESET: waits for the test programs and counts their single tests.
report_tests() {
    local preset=$1 program group name log code total red count passed_tests
    wait "$tests"
    while IFS= read -r program; do
        passed_tests=0
        while read -r _ group; do
            name="$preset/$(basename "$program") $group"
            log="$out/$preset/$(basename "$program").$group.log"
            code=$(cat "$out/$preset/$(basename "$program").$group.code")
            total=$(grep -oE '(OK|Errors) \([^)]*' "$log" | grep -oE '[0-9]+ ran' | grep -oE '[0-9]+' | tail -1)
            if [ -z "$total" ]; then
                tail -n 60 "$log"
                bad "$name ended without a summary (exit code $code)"
                continue
            fi
            red=0
            count=0
            while IFS= read -r test; do
                count=$((count + 1))
                if is_known_red "$test"; then
                    red=$((red + 1))
                    echo "known red: $test in $name"
                fi
            done < <(grep -oE 'Failure in (IGNORE_)?TEST\([^)]*\)' "$log" | sed 's/^Failure in //' | sort -u)
            [ "$count" -gt "$red" ] && { grep -A 12 'Failure in' "$log"; bad "$name" $((count - red)); }
            # A program may fail after its tests, when the leak check runs.
            [ "$code" -ne 0 ] && [ "$count" -eq 0 ] && { tail -n 60 "$log"; bad "$name (exit code $code)"; }
            passed_tests=$((passed_tests + total - count))
        done < <(list_groups "$preset" | grep -F "$program ")
        name="$preset/$(basename "$program")"
        [ "$passed_tests" -gt 0 ] && ok "$name: $passed_tests tests" "$passed_tests"
    done < <(test_programs "$preset")
}

sources() { git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | sort; }

check_format() { sources | xargs clang-format --dry-run --Werror; }

check_lint() {
    sources | grep '\.cpp$' | grep -v 'fuzz\.cpp$' \
        | xargs -P "$jobs" -n 1 clang-tidy -p build/release --quiet 2>&1 | grep -v 'warnings generated'
    return "${PIPESTATUS[3]}"
}

# build PRESET [OPTION...]
build() { cmake --preset "$1" && cmake --build --preset "$1" -j "$jobs" "${@:2}"; }

run_fuzzers() {
    local fuzzer
    for fuzzer in build/fuzz/src/*/*fuzz build/fuzz/platform/*fuzz; do
        [ -x "$fuzzer" ] || continue
        run_step "fuzz $(basename "$fuzzer")" "$fuzzer" -runs=50000 -seed=1 -max_len=4096 -print_final_stats=0 \
            -artifact_prefix="$out/"
    done
}

run_step "install" utils/install-deps.sh || finish
run_step "format" check_format
run_step "build release" build release || finish
start_tests release
[ "$quick" = yes ] && { report_tests release; finish; }
run_step "build sanitize" build sanitize
built=$?
report_tests release
[ "$built" -eq 0 ] || finish
start_tests sanitize
run_step "lint" check_lint
run_step "build fuzz" build fuzz --target fuzzers && run_fuzzers
report_tests sanitize
[ -x utils/demo.sh ] && run_step "demo" utils/demo.sh
finish
