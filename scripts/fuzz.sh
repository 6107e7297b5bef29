#!/usr/bin/env bash
# Runs every fuzz target of the tree, one after the other, for FUZZTIME each.
set -euo pipefail
cd "$(dirname "$0")/.."
go=${GO:-go}
fuzztime=${FUZZTIME:-5s}

# Lines "directory target", one for each fuzz function.
targets=$(git ls-files --cached --others --exclude-standard '*_test.go' |
  xargs sed -n 's/^func \(Fuzz[A-Za-z0-9_]*\)(.*/\1/;T;F;p' |
  paste - - | sed 's|[^/]*_test\.go\t| |' | sort)
test -n "$targets" || { echo "no fuzz targets found" >&2; exit 1; }

while read -r dir target; do
  echo "== $dir $target for $fuzztime"
  "$go" test "./$dir" -run '^$' -fuzz "^${target}\$" -fuzztime "$fuzztime"
done <<<"$targets"
