#!/usr/bin/env bash
# Runs a scenario of the stand-ins against the deployed binary: run_case.sh FOLDER SCENARIO. Writes FOLDER/record.txt.
set -u
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.." || exit 2
[ -x target/wigeoncart ] && [ -x build/review/rig ] || { echo "build the deploy file and review/build.sh first" >&2; exit 2; }
directory=$(mktemp -d) || exit 2
trap 'rm -rf "$directory"' EXIT
timeout 110 build/review/rig "$2" target/wigeoncart "$directory" "${TROUBLE:-1}" 2>"$directory/errors.txt"
status=$?
[ -f "$directory/record.txt" ] && cp "$directory/record.txt" "$folder/record.txt"
[ "$status" -le 1 ] || { tail -n 5 "$directory"/errors.txt >&2; exit 2; }
exit "$status"
