#!/usr/bin/env bash
# Runs a scenario of the stand-ins: run_case.sh FOLDER SCENARIO. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.."
if [ ! -x target/review/rig2 ] || [ ! -x target/wigeoncart ]; then
  echo "run review/build-2.sh first"
  exit 2
fi
exec target/review/rig2 "$2" "${TROUBLE:-1}" target/wigeoncart "$folder/record.txt"
