#!/bin/sh
# Checks all models; exits non-zero when one has a counterexample or wasn't searched whole.
cd "$(dirname "$0")" || exit 2
failed=0
check() { ./pan.sh "$@" || failed=1; }
check once safety
check once progress -DN=2
check keeping safety -DPROMPT=1
check keeping safety -DFAULTS=1 -DREQ=1
check keeping safety -DFAULTS=0 -DTWO=0
check keeping progress -DFAULTS=0 -DREQ=1
check keeping progress -DFAULTS=1 -DREQ=1 -DTWO=0 -DKILL=0
check config safety
check config progress -DTICKS=0
check order safety -DENGINE=CHECKS
check order safety -DENGINE=IGNORES
check order progress -DENGINE=PAUSED -DFAULTS=0
check order progress -DENGINE=PAUSED -DPAUSES=0
exit $failed
