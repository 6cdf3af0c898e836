#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases. Run it in the project's root or elsewhere, after the build of the
# deploy file, whose libraries it uses.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/build
flags=(-std=c++17 -O1 -Wall -Wextra -I. -DBOOST_ASIO_DISABLE_CONCEPTS -DJSON_USE_IMPLICIT_CONVERSIONS=0)
libraries=(target/libwaxwing.a target/libwaxwingcore.a -lboost_fiber -lboost_context -lboost_program_options
    -llog4cxx -lxxhash -lz -lpthread)
g++ "${flags[@]}" tests/standins/objectapi.cpp -o review/build/standin-objectapi "${libraries[@]}" &
store=$!
g++ "${flags[@]}" -c review/rig/Rig.cpp -o review/build/Rig.o
for case in review/[0-9]/Case.cpp; do
    number=$(basename "$(dirname "$case")")
    g++ "${flags[@]}" "$case" review/build/Rig.o -o "review/build/case-$number" -lpthread
done
wait "$store"
