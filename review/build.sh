#!/bin/sh
# Builds the programs of the review cases, with their stand-ins, into target/review.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[1-9]; do
	if [ -f "$folder/main.go" ]; then
		go build -buildvcs=false -o "target/review/$(basename "$folder")" "./$folder"
	fi
done
