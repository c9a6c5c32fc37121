#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts review/6 to review/10 start,
# into target/review-2/. The project's programs come from the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
output=target/review-2
mkdir -p "$output"
g++ -std=c++20 -O1 -Wall -Wextra -Werror -pthread -I. review/*-2.cpp \
  -o "$output/vanillaworks-review-2"
