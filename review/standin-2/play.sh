#!/usr/bin/env bash
# play.sh CASE DAEMONS FOLDER: starts the stand-ins and so many daemons, and ends with the result of the case.
set -uo pipefail
name=$1
daemons=$2
record=$(cd "$3" && pwd)/record.txt
cd "$(dirname "$0")/../.."

[ -x target/platform/crocusdealfront ] && [ -x target/review-2/scenario ] || exit 2
folder=$(mktemp -d)
pids=()
finish() {
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null
        wait "$pid" 2>/dev/null
    done
    rm -rf "$folder"
}
trap finish EXIT

target/review-2/scenario "$name" "$folder" "${TROUBLE:-1}" "$record" &
scenario=$!
pids+=("$scenario")
for _ in $(seq 100); do
    [ -e "$folder/addresses" ] && break
    sleep 0.05
done
[ -e "$folder/addresses" ] || exit 2

number=0
while read -r store authority callers readiness relay metrics; do
    number=$((number + 1))
    # What deploy/front.json.template gives for a small deployment.
    cat >"$folder/local.$number.conf" <<EOF
{
    "instance": "front-sapporo-a-$number",
    "data_centre": "sapporo-a",
    "caller_address": "$callers",
    "readiness": { "address": "$readiness", "path": "/api/ready" },
    "metrics_address": "$metrics",
    "relay_address": "$relay",
    "store_address": "$store",
    "authority_address": "$authority",
    "drain_ms": 7000,
    "grace_s": ${GRACE_S:-6},
    "target_heartbeat_ms": 1200,
    "configuration_apply_ms": 3000
}
EOF
    target/platform/crocusdealfront --settings "$folder/local.$number.conf" >"$folder/front.$number.log" 2>&1 &
    pids+=("$!")
done <"$folder/addresses"
[ "$number" -eq "$daemons" ] || exit 2
echo "${pids[@]:1}" >"$folder/pids"

wait "$scenario"
result=$?
grep -hE 'expected, got|event=(configuration_in_force|promotion_ordered|promotion_ended|primary_known|shutting_down|stopped)' "$folder"/front.*.log |
    sed -e "s#$folder/##" -e 's/^/daemon: /' >>"$record"
exit "$result"
