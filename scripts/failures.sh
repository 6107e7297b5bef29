#!/usr/bin/env bash
# Runs the failure tests. A failed test is passed over only when a line of KNOWN-RED.txt names
# its package and the test itself, and no other test has failed. Usage: GO=go scripts/failures.sh
set -uo pipefail
. "$(dirname "$0")/known-red.sh"
out=$(mktemp)
trap 'rm -f "$out"' EXIT
go=${GO:-go}
# These measure memory and descriptors of one process, and are played apart from the others.
alone=$("$go" list ./test/clients)
status=0
play() {
  "$go" test -race -count=1 -timeout 15m "$@" 2>&1 | tee -a "$out"
  [ "${PIPESTATUS[0]}" -eq 0 ] || status=1
}
play -p 2 $("$go" list ./test/... | grep -vxF "$alone")
play "$alone"
[ "$status" -eq 0 ] && exit 0
known_red "$out"
