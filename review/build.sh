#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/, those of the project included.
set -eu
cd "$(dirname "$0")/.."
make -s -j8 build/libwigeoncart.a
mkdir -p build/review
${CC:-gcc} -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Iinclude -Isrc -Iplatform -Iproto \
  $(pkg-config --cflags glib-2.0 json-c libsodium libprotobuf-c) review/standins/rig.c build/libwigeoncart.a \
  $(pkg-config --libs glib-2.0 json-c libsodium libprotobuf-c) \
  -lgsl -lgslcblas -lev -lhttp_parser -lz -lpthread -ldl -lm -o build/review/rig
