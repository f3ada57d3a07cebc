#!/usr/bin/env bash
# Measures the cost of an idle system, without requests from callers: processor time and memory per
# process, log records per second, and the time until a new sheet is in force in all processes.
# Usage: scripts/idle-cost.sh [ENTRY_HOSTS...]   (default: 3, 6 and 9)
set -euo pipefail
cd "$(dirname "$0")/.."

SECONDS_IDLE=20
cargo build --release --locked --workspace --bins
bin=${CARGO_TARGET_DIR:-target}/release
ticks=$(getconf CLK_TCK)
pids=()

finish() {
    local pid
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    pids=()
    rm -rf "${work:-}"
}
trap finish EXIT
trap 'exit 130' INT TERM

cpu_ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
resident_kb() { awk '$1 == "VmRSS:" { print $2 }' "/proc/$1/status"; }
mean() { awk '{ sum += $1 } END { printf "%.2f", sum / NR }'; }
offset() { "${ctl[@]}" --json status | grep -o '"next": *[0-9]*' | head -1 | grep -o '[0-9]*'; }
revision() { "${ctl[@]}" --json status | grep -o '"revision": *[0-9]*' | head -1 | grep -o '[0-9]*'; }
known_everywhere() { # revision
    local http
    for http in "${https[@]}"; do
        "$bin/persimmonctl" --json dump "$http" 2>/dev/null |
            grep -q "\"revision\": *$1[,}]" || return 1
    done
}

printf '%-12s%16s%16s%16s%16s%14s%16s\n' 'entry hosts' 'entry ms/s' 'fleet ms/s' 'entry MB' \
    'fleet MB' 'records/s' 'in force ms'
for count in "${@:-3 6 9}"; do for hosts in $count; do
    work=$(mktemp -d)
    mapfile -t ports < <("$bin/persimmongate-standin" ports $((1 + hosts * 5)))
    platform=${ports[0]}
    "$bin/persimmongate-standin" platform --address "$platform" --deployment kuiseb 2>/dev/null &
    pids+=($!)
    entry=() fleet=() https=() addresses=''
    for index in $(seq 0 $((hosts - 1))); do
        base=$((1 + index * 5))
        for kind in entry fleet; do
            at=$base
            if [ "$kind" = fleet ]; then at=$((base + 3)); fi
            { printf 'instance = "%s-%s"\nzone = "khomas-a"\nhttp = "%s"\npeer = "%s"\n' \
                "$kind" "$index" "${ports[at]}" "${ports[at + 1]}"
              printf 'platform = "%s"\n' "$platform"
              if [ "$kind" = entry ]; then printf 'listen = "%s"\n' "${ports[base + 2]}"; fi
            } >"$work/$kind-$index.toml"
            "$bin/persimmongate-$kind" --settings "$work/$kind-$index.toml" 2>/dev/null &
            pids+=($!)
            https+=("${ports[at]}")
            if [ "$kind" = entry ]; then entry+=($!); else fleet+=($!); addresses+=",${ports[at]}"; fi
        done
    done
    ctl=("$bin/persimmonctl" --fleet "${addresses#,}" --operator idle)
    sleep 3
    grep -v '^wave' examples/kuiseb/sheet.csv >"$work/sheet.csv"
    "${ctl[@]}" apply "$work/sheet.csv" >/dev/null
    sleep 5
    from=$(offset)
    before=(); for pid in "${entry[@]}" "${fleet[@]}"; do before+=("$(cpu_ticks "$pid")"); done
    sleep "$SECONDS_IDLE"
    records=$(($(offset) - from))
    after=(); for pid in "${entry[@]}" "${fleet[@]}"; do after+=("$(cpu_ticks "$pid")"); done
    spent() { # first, count
        local step
        for step in $(seq "$1" $(($1 + $2 - 1))); do
            awk -v t=$((after[step] - before[step])) -v hz="$ticks" -v s="$SECONDS_IDLE" \
                'BEGIN { print t * 1000 / hz / s }'
        done | mean
    }
    memory() { for pid in "$@"; do awk -v kb="$(resident_kb "$pid")" 'BEGIN { print kb / 1000 }'; done | mean; }
    sed 's/^budget,,,finder,6/budget,,,finder,5/' "$work/sheet.csv" >"$work/second.csv"
    started=$(date +%s%3N)
    "${ctl[@]}" apply "$work/second.csv" >/dev/null
    wanted=$(revision)
    until known_everywhere "$wanted"; do :; done
    ended=$(date +%s%3N)
    printf '%-12s%16s%16s%16s%16s%14s%16s\n' "$hosts" "$(spent 0 "$hosts")" \
        "$(spent "$hosts" "$hosts")" "$(memory "${entry[@]}")" "$(memory "${fleet[@]}")" \
        "$(awk -v r="$records" -v s="$SECONDS_IDLE" 'BEGIN { printf "%.2f", r / s }')" \
        "$((ended - started))"
    finish
done; done
