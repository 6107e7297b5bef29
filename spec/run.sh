#!/bin/sh
# Checks all models, four searches side by side; exits non-zero when one has a counterexample or wasn't
# searched whole.
cd "$(dirname "$0")" || exit 2
xargs -P 4 -L 1 ./pan.sh <<'LIST'
once safety
config safety
order safety -DENGINE=CHECKS
order safety -DENGINE=IGNORES
keeping safety -DFAULTS=0 -DTWO=0
keeping safety -DFAULTS=1 -DREQ=1
keeping safety -DPROMPT=1
keeping progress -DFAULTS=0 -DREQ=1
keeping progress -DFAULTS=1 -DREQ=1 -DTWO=0 -DKILL=0
handover safety
handover progress
warmup safety
departure safety
software safety
register safety
once progress -DN=2
config progress -DTICKS=0
order progress -DENGINE=PAUSED -DFAULTS=0
order progress -DENGINE=PAUSED -DPAUSES=0
LIST
