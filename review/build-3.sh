#!/usr/bin/env bash
# Builds the stand-ins, clients and checks of review/11 to review/15 into
# target/review-3/. The programs themselves are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o target/review-3/review-3 \
  review/Cut-3.cpp review/Deployment-3.cpp review/Main-3.cpp \
  review/Net-3.cpp review/Platform-3.cpp
