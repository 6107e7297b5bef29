#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out. Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd) && cd "$here/../.." || exit 2
exec target/review-2/stand taken "$here/record.txt"
