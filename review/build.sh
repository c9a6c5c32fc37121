#!/bin/bash
# Builds the programs of the scripted cases, with their stand-ins, into
# review/build/. The programs of the project come from the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
build=review/build
rm -rf "$build"
mkdir -p "$build"

compile() { # source file
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -I. -c "$1" \
    -o "$build/$(basename "$1" .cpp).o"
}

shared="Record Http Store Runner Proxy Deployment Checks"
cases=$(cd review/harness && grep -l '^main' ./*.cpp | sed 's|^\./||; s|\.cpp$||')
for name in $shared $cases; do
  compile "review/harness/$name.cpp" &
done
wait
objects=$(for name in $shared; do echo "$build/$name.o"; done)
for name in $cases; do
  # shellcheck disable=SC2086
  g++ -pthread "$build/$name.o" $objects -o "$build/$name"
done
