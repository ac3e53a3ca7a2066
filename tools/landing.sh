#!/usr/bin/env bash
# Plays a landing's runs of the users' bench one after the other and prints their table. A run that came to its
# end is not played again, so that the script goes on where it was cut off.
#
#   BENCH=path/of/the/bench SITES=folder/of/the/sites tools/landing.sh PLAN WHY [JOBS]
#
# PLAN has a line for each run: `hunt DAYS SITE` or `score [--quick] SITE`; SITE is a path under SITES. The runs
# begin with the largest sites, which take longest. State and output are kept under target/landing, by commit.
# Long hunts are better several lines: an entry is written only at the end of a run.
set -euo pipefail
cd "$(dirname "$0")/.."
plan=${1:?a plan}
why=${2:?a reason}
jobs=${3:-0}
: "${BENCH:?where the bench is}" "${SITES:?where the sites are}"

commit=$(git rev-parse HEAD)
[ -z "$(git status --porcelain -- . ':!journal')" ] || { echo "there are changes that are not committed"; exit 1; }
state=target/landing/$commit
mkdir -p "$state"

# Processor jobs: as asked for, else half of the processors, and no more than half of the memory bears. A day of
# 300 machines takes about 2 GB.
memory_gb=$(awk '/MemTotal/ {print int($2 / 1048576)}' /proc/meminfo)
most=$((memory_gb / 2 / 2))
[ "$jobs" -gt 0 ] || jobs=$(($(nproc) / 2))
[ "$jobs" -le "$most" ] || jobs=$most
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
        echo "  ended with status $?; see $state/$name.out"
    fi
    grep -E 'with a rule broken|GATE|rules broken' "$state/$name.out" | cut -c1-200 || true
done <"$plan"

# Entries of this commit, whoever played them.
mapfile -t entries < <(grep -l "\"head\": *\"$commit\"" journal/*.json 2>/dev/null || true)
if [ "${#entries[@]}" -gt 0 ]; then
    cargo run --quiet --release --locked -p millford-lab -- days "${entries[@]}"
fi
[ "$failed" -eq 0 ]
