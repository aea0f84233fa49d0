#!/usr/bin/env bash
# Builds the stand-ins of the second review with the library that the build of the deploy file leaves in target/.
set -eu -o pipefail
cd "$(dirname "$0")/.."
[ -f target/libwigeoncart.a ] || make -j8 deploy
packages="glib-2.0 json-c libsodium libprotobuf-c"
mkdir -p target/review
gcc -std=gnu11 -D_GNU_SOURCE -O2 -g -fno-pie -no-pie -Wall -Wextra -Iinclude -Isrc -Iplatform -Iproto $(pkg-config --cflags $packages) \
  review/standins-2/*.c target/libwigeoncart.a -o target/review/rig2 \
  $(pkg-config --libs $packages) -lgsl -lgslcblas -lev -lhttp_parser -lz -lpthread -ldl -lm
