#!/usr/bin/env bash
# Executes the runs of the users' bench that a landing requires, one after another, and prints a table of their
# results. Completed runs are skipped, so that the script can be restarted after an interruption.
#
#   BENCH=path/of/the/bench SITES=directory/of/the/sites tools/landing.sh PLAN WHY [JOBS]
#
# PLAN is a file with a line for each run: `hunt DAYS SITE` or `score [--quick] SITE`, where SITE is a path relative
# to SITES. Put the largest sites first, since they take longest. Split a long hunt into several lines, because a run
# writes its journal entry only at its end. WHY is the reason that the journal entries state. State and output are
# stored under target/landing, by commit.
set -euo pipefail
cd "$(dirname "$0")/.."
plan=${1:?PLAN is required}
why=${2:?WHY is required}
jobs=${3:-0}
: "${BENCH:?BENCH is required}" "${SITES:?SITES is required}"

commit=$(git rev-parse HEAD)
[ -z "$(git status --porcelain -- . ':!journal')" ] || { echo "the work tree has uncommitted changes"; exit 1; }
state=target/landing/$commit
mkdir -p "$state"

# Number of parallel jobs: JOBS or, by default, half of the processors; at most as many as fit into half of the
# memory. A day of a site with 300 machines takes about 2 GB.
memory_gb=$(awk '/MemTotal/ {print int($2 / 1048576)}' /proc/meminfo)
max_jobs=$((memory_gb / 2 / 2))
[ "$jobs" -gt 0 ] || jobs=$(($(nproc) / 2))
[ "$jobs" -le "$max_jobs" ] || jobs=$max_jobs
[ "$jobs" -ge 1 ] || jobs=1

number=0
failed=0
while read -r verb first second; do
    [ -n "$verb" ] && [ "${verb#\#}" = "$verb" ] || continue
    number=$((number + 1))
    name=$(printf '%02d' "$number")
    [ ! -f "$state/$name.done" ] || continue
    case "$verb" in
        hunt) arguments=(hunt "$SITES/$second" --days "$first") ;;
        score) if [ -n "${second:-}" ]; then arguments=(score "$SITES/$second" "$first"); else arguments=(score "$SITES/$first"); fi ;;
        *) echo "line $number: unknown verb $verb"; exit 1 ;;
    esac
    echo "$(date +%T) $verb $first ${second:-}"
    if "$BENCH" "${arguments[@]}" --jobs "$jobs" --why "$why" </dev/null >"$state/$name.out" 2>&1; then
        touch "$state/$name.done"
    else
        failed=$((failed + 1))
        echo "  failed with status $?; see $state/$name.out"
    fi
    grep -E 'with a rule broken|GATE|rules broken' "$state/$name.out" | cut -c1-200 || true
done <"$plan"

# All journal entries of this commit, also those of runs that were started without this script.
mapfile -t entries < <(grep -l "\"head\": *\"$commit\"" journal/*.json 2>/dev/null || true)
if [ "${#entries[@]}" -gt 0 ]; then
    cargo run --quiet --release --locked -p millford-lab -- days "${entries[@]}"
fi
[ "$failed" -eq 0 ]
