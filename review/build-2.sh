#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the second review's cases. Run it in the project's root or elsewhere, after
# the build of the deploy file, whose libraries it uses.
set -euo pipefail
cd "$(dirname "$0")/.."
out=review/build/rig-2
mkdir -p "$out"
flags=(-std=c++17 -O1 -Wall -Wextra -I. -DBOOST_ASIO_DISABLE_CONCEPTS -DJSON_USE_IMPLICIT_CONVERSIONS=0)
libraries=(target/libwaxwing.a target/libwaxwingcore.a -lboost_fiber -lboost_context -lboost_program_options
    -llog4cxx -lxxhash -lz -lpthread)
g++ "${flags[@]}" tests/standins/objectapi.cpp -o "$out/standin-objectapi" "${libraries[@]}" &
store=$!
g++ "${flags[@]}" -c review/rig-2/Rig.cpp -o "$out/Rig.o"
for driver in review/[4-8]/[A-Z]*.cpp; do
    [ -e "$driver" ] || continue
    number=$(basename "$(dirname "$driver")")
    g++ "${flags[@]}" "$driver" "$out/Rig.o" -o "$out/case-$number" -lpthread
done
wait "$store"
