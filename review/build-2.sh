#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10 into target/review-2/. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/stand ./review/stand-2
