#!/bin/sh
# Installs the model checker where it is missing (Debian) and says which one is used.
set -eu
if ! command -v spin >/dev/null; then
  echo "installing spin"
  apt-get update -qq
  apt-get install -y -qq spin
fi
spin -V
