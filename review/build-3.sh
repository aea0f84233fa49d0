#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, into build/review-3/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-3
gcc -std=gnu11 -O2 -Wall -Wextra -o build/review-3/store review/13/store.c
gcc -std=gnu11 -O2 -Wall -Wextra -o build/review-3/world review/12/world.c
gcc -std=gnu11 -O2 -Wall -Wextra -o build/review-3/flows review/11/flows.c
