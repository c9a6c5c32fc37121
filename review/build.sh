#!/bin/bash
# Builds the programs of the scripted cases, with their stand-ins, into
# target/review/. The programs of the project come from the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
output=target/review
rm -rf "$output"
mkdir -p "$output"

compile() { # name of a source file
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -I. -c "review/$1.cpp" \
    -o "$output/$1.o"
}

shared="Record Http Store Runner Proxy Deployment Checks"
cases="LostEntryThenAgent FrozenEntry CrashingTask ReportWithoutZone"
cases+=" SilentStoreChannels CancelElsewhere"
for name in $shared $cases; do
  compile "$name" &
done
wait
objects=$(for name in $shared; do echo "$output/$name.o"; done)
for name in $cases; do
  # shellcheck disable=SC2086
  g++ -pthread "$output/$name.o" $objects -o "$output/$name"
done
