#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
folder=$(mktemp -d) || exit 2
target/review/replaced_machine "$folder" review/1/record.txt
result=$?
rm -rf "$folder"
[ "$result" -le 2 ] || result=2
exit "$result"
