#!/usr/bin/env bash
# Records new traces of a deployment and replays them into summaries.
# Usage: scripts/record-traces.sh kuiseb|andaman
set -euo pipefail
cd "$(dirname "$0")/.."

deployment=${1:?usage: scripts/record-traces.sh kuiseb|andaman}
folder=$PWD/examples/$deployment/trace
mkdir -p "$folder"
TRACES=$folder scripts/demo.sh "$deployment"
for name in entry fleet; do
    cargo run -q --release --locked -p persimmongate-core --example measure -- \
        "$folder/$name.cbor" >"$folder/$name.toml"
    cat "$folder/$name.toml"
done
