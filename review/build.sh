#!/usr/bin/env bash
# Builds every stand-in that the scripts of this folder start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-stand ./review/stand
