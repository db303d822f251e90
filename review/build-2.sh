#!/bin/sh
# Builds the stand-ins of the scripted cases 6 to 10 into target/review2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review2
go build -buildvcs=false -o target/review2/ ./review/rig2
