#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/bulrushspan target/rig-3/release/rig-3; do
    if [ ! -x "$program" ]; then
        echo "$program is missing: run the build of deploy/system.toml and review/build-3.sh"
        exit 2
    fi
done
exec target/rig-3/release/rig-3 first-version . review/15/record.txt
