#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts review/6 and up start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/second/build
g++ -std=c++20 -O1 -Wall -Wextra -Werror -pthread -I. review/second/*.cpp \
  -o review/second/build/vanillaworks-review-2
