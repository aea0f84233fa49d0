#!/usr/bin/env bash
# Mutation test of the fleet fuzzer: applies each patch to a scratch copy, runs the fuzzer on it and checks that the
# assertion named in the patch fails.
#
# Arguments: patches to try (all in tests/fuzz/mutants). MUTANT_RUNS: fuzzer runs per patch (2000). MUTANT_SEED: seed
# (1). MUTANT_JOBS: patches tried at the same time (4).
set -u
root=$(cd "$(dirname "$0")/../.." && pwd)
runs=${MUTANT_RUNS:-2000}
seed=${MUTANT_SEED:-1}
scratch=$root/build/mutants
flags="-O1 -g -fsanitize=address,undefined -fno-sanitize-recover=all"

cd "$root" || exit 1
make --no-print-directory BUILD=build/sanitize CFLAGS="$flags" build/sanitize/fuzz_fleet >/dev/null || exit 1
rm -rf "$scratch"
mkdir -p "$scratch"

try() {
  local patch=$1 name invariant copy
  name=$(basename "$patch" .patch)
  invariant=$(sed -n 's/^Invariant: //p' "$patch")
  copy=$scratch/$name
  mkdir -p "$copy/build"
  cp -a Makefile src include proto tests "$copy"
  cp -a build/sanitize "$copy/build/sanitize"
  if ! patch -s -d "$copy" -p1 <"$patch" >"$copy/log" 2>&1 ||
     ! make -C "$copy" BUILD=build/sanitize CFLAGS="$flags" WARNINGS= build/sanitize/fuzz_fleet >>"$copy/log" 2>&1; then
    echo "FAILED $name: the patch does not apply or the copy does not build, see $copy/log"
    return
  fi
  "$copy/build/sanitize/fuzz_fleet" "$runs" "$seed" >"$copy/output" 2>&1
  if grep -q "^ASSERTION $invariant:" "$copy/output"; then
    echo "caught $name: $invariant, $(grep '^seed .* run ' "$copy/output")"
  else
    echo "FAILED $name: assertion $invariant did not fail; $(grep '^ASSERTION' "$copy/output" || tail -n 1 "$copy/output")"
  fi
}

export -f try
export root runs seed scratch flags
printf '%s\n' "${@:-tests/fuzz/mutants/*.patch}" | xargs -I{} sh -c 'ls {}' |
  xargs -P "${MUTANT_JOBS:-4}" -I{} bash -c 'try {}' | sort >"$scratch/results"
cat "$scratch/results"
echo "$(grep -c ^caught "$scratch/results") passed, $(grep -c ^FAILED "$scratch/results") failed"
! grep -q ^FAILED "$scratch/results"
