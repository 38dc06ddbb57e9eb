#!/bin/sh
# Builds the stand-ins and the programs of the cases in review/build.
set -eu
cd "$(dirname "$0")/.."
out=review/build
make -j8 -s OUT=$out $out/standins/platform
for case in review/[1-5]; do
    if [ -f "$case/case.c" ]; then
        n=$(basename "$case")
        ${CC:-cc} -std=gnu11 -g -O2 -D_GNU_SOURCE -Wall -Wextra -Werror \
            -Wno-unused-parameter $(pkg-config --cflags glib-2.0) \
            -iquote review/rig -o "$out/case-$n" "$case/case.c" \
            review/rig/rig.c $(pkg-config --libs glib-2.0) -lpthread -lm
    fi
done
