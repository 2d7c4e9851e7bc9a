#!/usr/bin/env bash
# Plays the case on loopback; exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out. Writes record.txt.
cd "$(dirname "$0")/../.." || exit 2
standin=review/standin/target/release/review-standin
for program in "$standin" target/release/knapweed-sidecar target/release/knapweed-fake-platform; do
    [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
exec "$standin" late-beats review/3/record.txt
