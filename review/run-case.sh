#!/usr/bin/env bash
# Plays one case: run-case.sh CASE RECORD. Exits with 1 if the rule was broken, 0 if it held and 2 if
# the case could not run.
set -uo pipefail
review=$(cd "$(dirname "$0")" && pwd)
case=$1
record=$2
export PROGRAM="$review/../target/release/bulrushspan"
rig="$review/rig/target/release/review-rig"
if [ ! -x "$PROGRAM" ] || [ ! -x "$rig" ]; then
    echo "could not run: build the system and review/build.sh first" | tee "$record" >&2
    exit 2
fi
timeout -k 2 116 "$rig" "$case" "$record"
code=$?
# The stand-ins end what they started; this is for a run that was cut off.
for id in $(sed -n 's/.* platform starts .* as process \([0-9]*\)$/\1/p' "$record" 2>/dev/null); do
    if [ "$(cat "/proc/$id/comm" 2>/dev/null)" = bulrushspan ]; then
        kill -9 "$id" 2>/dev/null
    fi
done
[ "$code" -le 1 ] && exit "$code"
exit 2
