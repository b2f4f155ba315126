#!/usr/bin/env bash
# Runs case 3: see claim.txt. TROUBLE=0 leaves the disruption out.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
number=$(basename "$here")
program="$root/target/release/oliveshift"
driver="$root/target/review/release/case-$number"
for file in "$program" "$driver"; do
    if [ ! -x "$file" ]; then
        echo "missing: build by the deploy file and review/build.sh first" >&2
        exit 2
    fi
done
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
# The driver and all that it starts are one process group, which the time limit ends.
timeout -k 1 118 "$driver" "$program" "$here/record.txt" "$folder"
code=$?
case $code in
    0) echo "case $number: the rule held" ;;
    1) echo "case $number: the rule was broken" ;;
    *) echo "case $number: could not run (driver ended with $code)"; code=2 ;;
esac
exit $code
