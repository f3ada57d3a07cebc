#!/usr/bin/env bash
# Builds the workspace, runs a deployment on loopback under load and checks the system's guarantees:
# outcomes, availability budgets and the end of a maintenance wave.
# Usage: scripts/demo.sh [kuiseb|andaman] [break]
# With "break", the platform reboots busy hosts without draining them, and the run must fail.
set -euo pipefail
cd "$(dirname "$0")/.."

deployment=${1:-kuiseb}
break=${2:-}
usage() { echo "usage: scripts/demo.sh [kuiseb|andaman] [break]" >&2; exit 2; }
case "$deployment" in
kuiseb) wave=finder-december ;;
andaman) wave=phuket-december ;;
*) usage ;;
esac
case "$break" in '' | break) ;; *) usage ;; esac

cargo build --release --locked --workspace --bins
bin=${CARGO_TARGET_DIR:-target}/release
work=$(mktemp -d)

# Terminates all processes that this script started, also after an interrupt. Processes that still
# run after two seconds are killed.
finish() {
    trap '' INT TERM
    stop TERM
    for _ in $(seq 20); do
        [ -n "$(jobs -pr)" ] || break
        sleep 0.1
    done
    stop KILL
    wait 2>/dev/null || true
    rm -rf "$work"
}
stop() { # signal
    local pid
    for pid in $(jobs -pr); do kill -s "$1" "$pid" 2>/dev/null || true; done
}
trap finish EXIT
trap 'exit 130' INT TERM

# Sleeps in the background, because bash handles a signal only after a foreground sleep has ended.
pause() {
    sleep "$1" &
    wait $!
}

mapfile -t ports < <("$bin/persimmongate-standin" ports 19)
platform=${ports[0]}

start() {
    local log=$1; shift
    "$@" 2>>"$work/$log" &
}

settings() { # instance zone http peer
    printf 'instance = "%s"\nzone = "%s"\nhttp = "%s"\npeer = "%s"\nplatform = "%s"\n' \
        "$1" "$2" "$3" "$4" "$platform"
    # With TRACES set, the first process of each kind records its decisions in that folder.
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
    if [ "$index" = 1 ]; then victim=$!; fi
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
        pause 0.2
    done
    echo "timed out waiting for $what" >&2
    tail -n 5 "$work"/*.log >&2
    exit 1
}
hosts_listed() { "${ctl[@]}" status | awk '$1 == "spare" && $4 >= 54 { found = 1 } END { exit !found }'; }
pools_filled() {
    "${ctl[@]}" status | awk '$1 == "pool" { on = 1; next } $1 == "service" { exit } on && $1 != "spare" && $3 != $4 { bad = 1 }
        END { exit bad }'
}

wait_for "a fleet instance that has read the log" "${ctl[@]}" status
wait_for "the hosts of the platform's host list" hosts_listed
# The pools get their hosts before the load starts, so that the load runs on the whole fleet.
grep -v '^wave' "examples/$deployment/sheet.csv" >"$work/pools.csv"
"${ctl[@]}" apply "$work/pools.csv"
wait_for "all hosts of the pools to serve" pools_filled
"${ctl[@]}" apply "examples/$deployment/sheet.csv"

"$bin/persimmongate-standin" callers --deployment "$deployment" --platform "$platform" \
    --entries "$(join "${entries[@]}")" --fleet "$(join "${fleet[@]}")" --wave "$wave" &
callers=$!

# One entry host is killed during the wave. Its replacement has a different instance name but the
# same addresses, so that the load balancer sends callers to it.
pause 6
disown "$victim"
kill -9 "$victim"
if [ -n "$break" ]; then
    for host in $(seq -f 'host-%03g' 0 15); do
        curl -sS -X POST "http://$platform/hosts/$host/reboot?generation=1" >/dev/null
    done
fi
pause 2
start_entry 1 entry-1b

status=0
wait "$callers" || status=$?
if [ "$status" -ne 0 ]; then
    tail -n 5 "$work"/*.log >&2
    echo "a check failed" >&2
    exit 1
fi
echo "all checks passed"
