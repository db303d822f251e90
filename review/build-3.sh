#!/bin/sh
# Builds the stand-ins of the scripted cases of the third review. They need only Go's standard library.
set -eu
cd "$(dirname "$0")/.."
go build -o target/rig3 ./review/rig3
