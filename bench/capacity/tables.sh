#!/usr/bin/env bash
# Recomputes the tables of docs/CAPACITY.md from the recorded points.
#
#   bench/capacity/tables.sh check  CSV PAGE   fails where the page differs
#   bench/capacity/tables.sh update CSV PAGE   rewrites the page's tables
set -eu
mode=$1 csv=$2 page=$3
made=$(mktemp)
trap 'rm -f "$made"' EXIT
awk -f "$(dirname "$0")/tables.awk" "$csv" "$page" >"$made"
case $mode in
  check) diff -u "$page" "$made" ;;
  update) cat "$made" >"$page" ;;
  *) echo "check or update" >&2; exit 2 ;;
esac
