#!/usr/bin/env bash
# Builds everything, runs a deployment on loopback and checks every promise.
# Usage: scripts/demo.sh [kuiseb|andaman]
set -euo pipefail
cd "$(dirname "$0")/.."

deployment=${1:-kuiseb}
case "$deployment" in
kuiseb) wave=finder-december ;;
andaman) wave=phuket-december ;;
*) echo "usage: scripts/demo.sh [kuiseb|andaman]" >&2; exit 2 ;;
esac

cargo build --release --locked --workspace --bins
bin=${CARGO_TARGET_DIR:-target}/release
work=$(mktemp -d)
pids=()

# Ends every process that this script started, by its id, also when interrupted.
finish() {
    local pid
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}
trap finish EXIT
trap 'exit 130' INT TERM

mapfile -t ports < <("$bin/persimmongate-standin" ports 19)
platform=${ports[0]}

start() {
    local log=$1; shift
    "$@" 2>>"$work/$log" &
    pids+=($!)
}

settings() { # instance zone http peer
    printf 'instance = "%s"\nzone = "%s"\nhttp = "%s"\npeer = "%s"\nplatform = "%s"\n' \
        "$1" "$2" "$3" "$4" "$platform"
    # With TRACES set, one process of each kind records its decisions there.
    case "${TRACES:+$1}" in
    entry-0 | fleet-0) printf 'trace = "%s/%s.cbor"\n' "$TRACES" "${1%-0}" ;;
    esac
}

start platform.log "$bin/persimmongate-standin" platform --address "$platform" \
    --deployment "$deployment"

entries=() fleet=()
start_entry() { # index instance
    local base=$((1 + $1 * 5))
    { settings "$2" "zone-$1" "${ports[base]}" "${ports[base + 1]}"
      printf 'listen = "%s"\n' "${ports[base + 2]}"; } >"$work/$2.toml"
    start "$2.log" "$bin/persimmongate-entry" --settings "$work/$2.toml"
}
for index in 0 1 2; do
    base=$((1 + index * 5))
    start_entry "$index" "entry-$index"
    [ "$index" = 1 ] && victim=$!
    entries+=("${ports[base + 2]}")
    settings "fleet-$index" "zone-$index" "${ports[base + 3]}" "${ports[base + 4]}" \
        >"$work/fleet-$index.toml"
    start "fleet-$index.log" "$bin/persimmongate-fleet" --settings "$work/fleet-$index.toml"
    fleet+=("${ports[base + 3]}")
done
join() { local IFS=,; echo "$*"; }
ctl=("$bin/persimmonctl" --fleet "$(join "${fleet[@]}")" --operator demo)

wait_for() { # what, command
    local what=$1; shift
    for _ in $(seq 100); do
        if "$@" >/dev/null 2>&1; then return; fi
        sleep 0.2
    done
    echo "timed out: $what" >&2
    tail -n 5 "$work"/*.log >&2
    exit 1
}
hosts_listed() { "${ctl[@]}" status | awk '$1 == "spare" && $4 >= 54 { found = 1 } END { exit !found }'; }
pools_filled() {
    "${ctl[@]}" status | awk '$1 == "pool" { on = 1; next } $1 == "service" { exit } on && $1 != "spare" && $3 != $4 { bad = 1 }
        END { exit bad }'
}

wait_for "a fleet instance that read the log" "${ctl[@]}" status
wait_for "the platform's hosts" hosts_listed
# The pools are filled first, so that the load meets the whole fleet.
grep -v '^wave' "examples/$deployment/sheet.csv" >"$work/pools.csv"
"${ctl[@]}" apply "$work/pools.csv"
wait_for "filled pools" pools_filled
"${ctl[@]}" apply "examples/$deployment/sheet.csv"

# One entry host is lost in the middle of the wave, and another takes its place.
(
    sleep 6
    kill -9 "$victim"
) &
pids+=($!)
(
    sleep 8
    sed -e 's/entry-1/entry-1b/' "$work/entry-1.toml" >"$work/entry-1b.toml"
    exec "$bin/persimmongate-entry" --settings "$work/entry-1b.toml" 2>>"$work/entry-1b.log"
) &
pids+=($!)

status=0
"$bin/persimmongate-standin" callers --deployment "$deployment" --platform "$platform" \
    --entries "$(join "${entries[@]}")" --fleet "$(join "${fleet[@]}")" --wave "$wave" || status=$?
if [ "$status" -ne 0 ]; then
    tail -n 5 "$work"/*.log >&2
    echo "a promise did not hold" >&2
    exit 1
fi
echo "every promise held"
