#!/usr/bin/env bash
# Installs, builds, checks format and lint, runs every test in release and under sanitizers.
# Ends on the line 'N passed, N failed'. Tests named in KNOWN-RED.txt are printed, not counted.
# usage: check.sh [--quick]     --quick leaves out lint, the sanitizer build, fuzzing and the demo
# JOBS=N runs N processes at once; the number of processors otherwise.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 1
exec </dev/null
# A setting from outside must not turn a sanitizer's check off.
unset ASAN_OPTIONS LSAN_OPTIONS UBSAN_OPTIONS GTEST_FILTER
TIMEFORMAT='%R %U %S'

quick=no
passed=0
failed=0
export JOBS=${JOBS:-$(nproc)}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
started=$SECONDS

ok() { passed=$((passed + ${2:-1})); echo "pass: $1 [$((SECONDS - started)) s]"; }
bad() { failed=$((failed + ${2:-1})); echo "FAIL: $1 [$((SECONDS - started)) s]"; }

# note_time NAME FILE: FILE ends on the real, user and system seconds that NAME took.
note_time() { tail -n 1 "$2" | awk -v name="$1" '{ printf "%9.1f s %9.1f s %s\n", $1, $2 + $3, name }' >>"$out/times"; }

finish() {
    if [ -s "$out/times" ]; then
        echo "ten slowest: elapsed, processor time"
        sort -rn "$out/times" | head -n 10
    fi
    echo "$passed passed, $failed failed"
    [ "$failed" -eq 0 ]
    exit
}

is_known_red() { [ -f KNOWN-RED.txt ] && grep -qF "$1" KNOWN-RED.txt; }

# report_step NAME CODE LOG: one check that passes when CODE is 0.
report_step() {
    if [ "$2" = 0 ]; then
        ok "$1"
        return 0
    fi
    tail -n 60 "$3"
    if is_known_red "$1"; then
        echo "known red: $1"
    else
        bad "$1"
    fi
    return 1
}

# run_step NAME COMMAND...: one check that passes when the command ends 0.
run_step() {
    local name=$1 code
    shift
    { time "$@" >"$out/step.log" 2>&1; } 2>"$out/step.time"
    code=$?
    note_time "$name" "$out/step.time"
    tail -n 1 "$out/times"
    report_step "$name" "$code" "$out/step.log"
}

test_programs() { find "build/$1/src" "build/$1/platform" -maxdepth 2 -name '*Tests' -type f -perm -u+x | sort; }

# list_tests PRESET: prints 'test PRESET PROGRAM GROUP NAME COUNT' for each process of tests: a group
# with its number of tests, or, where the group is in slowgroups.txt, each of its tests.
list_tests() {
    local program
    while IFS= read -r program; do
        if ! "$program" -ln >"$out/names" 2>"$out/names.log" || [ ! -s "$out/names" ]; then
            cat "$out/names.log" >&2
            echo "test $1 $program - - 0"
            continue
        fi
        tr ' ' '\n' <"$out/names" | sed '/^$/d' | sort -u | awk -F . -v head="test $1 $program" -v program="$(basename "$program")" '
            FILENAME == ARGV[1] { split($0, word, " "); slow[word[1] "/" word[2]] = 1; next }
            slow[program "/" $1] { print head, $1, $2, 1; next }
            { tests[$1]++ }
            END { for (group in tests) print head, group, "-", tests[group] }
        ' utils/slowgroups.txt -
    done < <(test_programs "$1")
}

# slowest_first: orders list_tests' lines as slowgroups.txt does; the groups that it doesn't name follow.
slowest_first() {
    awk '
        FILENAME == ARGV[1] { if ($0 !~ /^#/ && NF) rank[$1 "/" $2] = ++ranks; next }
        { n = split($3, path, "/"); key = path[n] "/" $4; print (key in rank ? rank[key] : ranks + 1), NR, $0 }
    ' utils/slowgroups.txt - | sort -n -k 1,1 -k 2,2 | cut -d ' ' -f 3-
}

# run_job NUMBER KIND ARGUMENT...: a line of the list of jobs; log, exit code and time go to files.
run_job() {
    local place=$OUT/$1 code
    shift
    {
        time case $1 in
        test)
            if [ "$5" = - ]; then "$3" -sg "$4"; else "$3" -sg "$4" -sn "$5"; fi
            ;;
        lint) utils/lint.sh "$2" ;;
        fuzz) "$2" -runs=50000 -seed=1 -max_len=4096 -print_final_stats=0 -artifact_prefix="$OUT/" ;;
        esac >"$place.log" 2>&1
        code=$?
    } 2>"$place.time"
    echo "$code" >"$place.code"
}
export -f run_job
export OUT=$out TIMEFORMAT

# run_jobs PROCESSES: runs the lines of the standard input and adds them to the list of jobs.
run_jobs() {
    local first
    touch "$out/jobs"
    first=$(wc -l <"$out/jobs")
    awk -v first="$first" '{ print first + NR, $0 }' >"$out/more"
    cat "$out/more" >>"$out/jobs"
    xargs -r -P "$1" -L 1 bash -c 'run_job "$@"' _ <"$out/more"
}

# code_of NUMBER: the exit code of a job; a job that left none has failed.
code_of() { cat "$out/$1.code" 2>/dev/null || echo missing; }

# report_tests PRESET: counts the single tests of the jobs.
report_tests() {
    local preset=$1 program number group test expected name log code ran red count passed_tests failure
    while IFS= read -r program; do
        passed_tests=0
        while read -r number _ _ _ group test expected; do
            name="$preset/$(basename "$program") $group"
            [ "$test" = - ] || name="$name.$test"
            log=$out/$number.log
            code=$(code_of "$number")
            if [ "$group" = - ]; then
                bad "$preset/$(basename "$program") names no tests"
                continue
            fi
            note_time "$name" "$out/$number.time"
            tail -n 1 "$out/times"
            ran=$(grep -aoE '(OK|Errors) \([^)]*' "$log" | grep -oE '[0-9]+ ran' | grep -oE '[0-9]+' | tail -1)
            if [ -z "$ran" ]; then
                tail -n 60 "$log"
                bad "$name ended without a summary (exit code $code)"
                continue
            fi
            [ "$ran" -eq "$expected" ] || bad "$name ran $ran of $expected tests"
            red=0
            count=0
            while IFS= read -r failure; do
                count=$((count + 1))
                if is_known_red "$failure"; then
                    red=$((red + 1))
                    echo "known red: $failure in $name"
                fi
            done < <(grep -aoE 'Failure in (IGNORE_)?TEST\([^)]*\)' "$log" | sed 's/^Failure in //' | sort -u)
            [ "$count" -gt "$red" ] && { grep -a -A 12 'Failure in' "$log"; bad "$name" $((count - red)); }
            # A program may fail after its tests, when the leak check runs.
            if grep -qaE 'ERROR: (Address|Leak)Sanitizer|: runtime error: ' "$log" \
                || { [ "$code" != 0 ] && [ "$count" -eq 0 ]; }; then
                tail -n 60 "$log"
                bad "$name (exit code $code)"
            fi
            passed_tests=$((passed_tests + ran - count))
        done < <(awk -v preset="$preset" -v program="$program" '
            $2 == "test" && $3 == preset && $4 == program' "$out/jobs" | sort -k 5,6)
        name="$preset/$(basename "$program")"
        [ "$passed_tests" -gt 0 ] && ok "$name: $passed_tests tests" "$passed_tests"
    done < <(test_programs "$preset")
}

# report_lint: one check for all sources; each file with a finding is printed.
report_lint() {
    local number file code=0
    : >"$out/lint.log"
    while read -r number _ file; do
        note_time "lint $file" "$out/$number.time"
        [ "$(code_of "$number")" = 0 ] && continue
        code=1
        cat "$out/$number.log" >>"$out/lint.log"
    done < <(grep -E '^[0-9]+ lint ' "$out/jobs")
    grep -E ' lint ' "$out/times" | awk '{ real += $1; cpu += $3 } END { printf "%9.1f s %9.1f s lint, all files\n", real, cpu }'
    grep -qE '^[0-9]+ lint ' "$out/jobs" || { code=1; echo "no source to read" >"$out/lint.log"; }
    report_step "lint" "$code" "$out/lint.log"
}

report_fuzzers() {
    local number program name
    while read -r number _ program; do
        name="fuzz $(basename "$program")"
        note_time "$name" "$out/$number.time"
        tail -n 1 "$out/times"
        report_step "$name" "$(code_of "$number")" "$out/$number.log"
    done < <(grep -E '^[0-9]+ fuzz ' "$out/jobs")
}

sources() {
    local file
    git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | sort -u \
        | while IFS= read -r file; do [ -f "$file" ] && echo "$file"; done
}

check_format() {
    [ -n "$(sources)" ] && sources | xargs clang-format --dry-run --Werror
}

list_lint() { sources | grep '\.cpp$' | grep -v 'fuzz\.cpp$' | sed 's/^/lint /'; }

list_fuzzers() {
    find build/fuzz/src build/fuzz/platform -maxdepth 2 -name '*fuzz' -type f -perm -u+x | sort | sed 's/^/fuzz /'
}

# Objects of unchanged sources come from ccache where it is installed; a clone may use another's.
launcher=
if command -v ccache >/dev/null; then
    launcher=ccache
    export CCACHE_BASEDIR=${CCACHE_BASEDIR:-$PWD} CCACHE_NOHASHDIR=${CCACHE_NOHASHDIR:-1}
fi

# build PRESET [OPTION...]
build() {
    cmake --preset "$1" -DCMAKE_C_COMPILER_LAUNCHER="$launcher" -DCMAKE_CXX_COMPILER_LAUNCHER="$launcher" \
        && cmake --build --preset "$1" -j "$JOBS" "${@:2}"
}

# Programs named *SoloTests start processes or measure time: they run one at a time, after all others.
solo() { grep -E '^test [^ ]* [^ ]*SoloTests '; }
shared() { grep -vE '^test [^ ]* [^ ]*SoloTests '; }

main() {
    local presets=(release) preset fuzzers=no
    [ "${1:-}" = --quick ] && quick=yes
    run_step "install" utils/install-deps.sh || finish
    run_step "format" check_format
    run_step "build release" build release || finish
    if [ "$quick" = no ]; then
        run_step "build sanitize" build sanitize && presets+=(sanitize)
        run_step "build fuzz" build fuzz --target fuzzers && fuzzers=yes
    fi
    # Under sanitizers a test takes longest.
    for preset in $(printf "%s\n" "${presets[@]}" | sort -r); do list_tests "$preset"; done | slowest_first >"$out/tests"
    LINT_TOOL_KEY=$(utils/lint.sh --key)
    export LINT_TOOL_KEY
    {
        # The long groups first; what is short fills the end.
        shared <"$out/tests"
        if [ "$quick" = no ]; then
            list_lint
            [ "$fuzzers" = yes ] && list_fuzzers
        fi
    } | run_jobs "$JOBS"
    solo <"$out/tests" | run_jobs 1
    for preset in "${presets[@]}"; do report_tests "$preset"; done
    [ "$quick" = yes ] && finish
    report_lint
    report_fuzzers
    [ "${#presets[@]}" -eq 2 ] || finish
    [ -x utils/demo.sh ] && run_step "demo" utils/demo.sh
    finish
}

# Sourced, the functions alone are there.
[ "${BASH_SOURCE[0]}" != "$0" ] || main "$@"
