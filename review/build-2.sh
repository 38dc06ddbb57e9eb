#!/usr/bin/env bash
# Builds what the cases 6 to 10 start beside the program of the deploy file: the
# project's own stand-in for the platform, and the programs of the cases.
set -eu
cd "$(dirname "$0")/.."
make -j8 -s build/release/standins/platform
mkdir -p build/review-2
for folder in review/6 review/7 review/8 review/9 review/10; do
    [ -f "$folder/case.c" ] || continue
    "${CC:-cc}" -D_GNU_SOURCE -std=gnu11 -O2 -g -Wall -Wextra -I review \
        -o "build/review-2/case-${folder#review/}" "$folder/case.c" \
        review/rig-2/*.c -lpthread
done
