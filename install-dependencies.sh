#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need; does nothing when all are there.
set -eu
packages="gcc make pkg-config curl jq libulfius-dev libgsl-dev libpcre2-dev libprotobuf-c-dev libglib2.0-dev check libsodium-dev libjson-c-dev
  libhttp-parser-dev libev-dev zlib1g-dev gnuplot-nox clang libfuzzer-14-dev libclang-rt-14-dev clang-format clang-tidy cppcheck"
missing=
for package in $packages; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
run=
[ "$(id -u)" -eq 0 ] || run=sudo
$run apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $run apt-get install -y --no-install-recommends $missing >/dev/null
