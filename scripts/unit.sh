#!/usr/bin/env bash
# Runs the unit tests. A failed test is passed over only when a line of KNOWN-RED.txt names its
# package and the test itself, and no other test has failed; a package that fails without a
# failed test only when a line names it with the very words that its output shows. RACE= plays
# them without the race detector. Usage:
# GO=go scripts/unit.sh PACKAGES...
set -uo pipefail
. "$(dirname "$0")/known-red.sh"
out=$(mktemp)
trap 'rm -f "$out"' EXIT
"${GO:-go}" test ${RACE--race} "$@" 2>&1 | tee "$out"
[ "${PIPESTATUS[0]}" -eq 0 ] && exit 0
if grep -q -- '--- FAIL' "$out"; then
  known_red "$out"
  exit
fi
failed=$(grep -E '^FAIL[[:space:]]+[^[:space:]]+/' "$out" | awk '{print $2}')
[ -n "$failed" ] || exit 1
for package in $failed; do
  line=$(grep -s "^${package#*/*/*/} |" KNOWN-RED.txt) || exit 1
  words=$(cut -d'|' -f2 <<<"$line" | sed 's/^ *//; s/ *$//')
  grep -qF -- "$words" "$out" || exit 1
  echo "known red, passed over: $line"
done
