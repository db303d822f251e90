#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
CASE_FOLDER=$(cd "$(dirname "$0")" && pwd) || exit 2
REPO_ROOT=$(cd "$CASE_FOLDER/../.." && pwd) || exit 2
export CASE_FOLDER REPO_ROOT
program="$REPO_ROOT/target/review/$(basename "$CASE_FOLDER")"
for needed in "$program" "$REPO_ROOT/target/hornbeam-core" "$REPO_ROOT/target/hornbeam-gateway"; do
	if [ ! -x "$needed" ]; then
		echo "$needed is missing: run the build of the deploy file and review/build.sh" >&2
		exit 2
	fi
done
exec "$program"
