#!/usr/bin/env bash
# Plays the second form of the case, without a disruption: two software versions side by side from the first
# start on. Runs with the programs of the deploy file and of review/build.sh. Exits with 1 if the rule
# was broken, 0 if it held and 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/dogwoodpier target/review/release/standins; do
    if [ ! -x "$program" ]; then
        echo "$program isn't built"
        exit 2
    fi
done
target/review/release/standins case two-versions review/3
status=$?
[ $status -le 2 ] || status=2
exit $status
