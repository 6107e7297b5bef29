#!/bin/sh
# pan.sh MODEL safety|progress [-Dswitch ...]: checks one model in a directory of its own, prints one
# line, and exits 0 without a counterexample, 1 with one, 2 when the check wasn't whole.
here=$(cd "$(dirname "$0")" && pwd); model=$1; what=$2; shift 2
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
cd "$dir" || exit 2
spin "$@" -a "$here/$model.pml" > spin.out 2>&1 || { cat spin.out; exit 2; }
if [ "$what" = safety ]; then
	gcc -w -O2 -DSAFETY -DNOCLAIM -o pan pan.c && ./pan -m400000 -w22 > out 2>&1
else
	gcc -w -O2 -DNFAIR=4 -o pan pan.c && ./pan -a -f -m400000 -w22 > out 2>&1
fi || { cat out; exit 2; }
states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' out)
found=$(sed -n 's/^pan:1: \(.*\)/\1/p' out | cut -c1-90)
echo "$model $what $*: ${states:-no} states; ${found:-no counterexample}"
if grep -q 'errors: 0' out && ! grep -qE 'max search depth|out of memory' out; then exit 0; fi
grep -q 'errors: [1-9]' out && exit 1
exit 2
