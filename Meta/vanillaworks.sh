#!/usr/bin/env bash
# Installs packages, builds, runs, tests and measures vanillaworks.
#   Meta/vanillaworks.sh run [--keep]   start, use and stop a small deployment
#   Meta/vanillaworks.sh test           run all tests with CTest
#   Meta/vanillaworks.sh lint           check format and run the linter
#   Meta/vanillaworks.sh soak ...       inject random faults: --seed N --seeds K
#   Meta/vanillaworks.sh measure ...    see docs/MEASUREMENTS.md
set -euo pipefail
cd "$(dirname "$0")/.."
# Lets clones in other folders share the entries of the compiler cache.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1

usage() {
  sed -n '2,7p' "$0" | sed 's/^# \{0,1\}//'
  exit 2
}

install_packages() {
  local missing=()
  while read -r package; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null \
      | grep -q 'install ok installed' || missing+=("$package")
  done < Meta/packages.txt
  if [ "${#missing[@]}" -gt 0 ]; then
    echo "installing: ${missing[*]}"
    apt-get update -q
    DEBIAN_FRONTEND=noninteractive apt-get install -y -q "${missing[@]}"
  fi
}

build() { # folder, then options for CMake
  local folder=$1
  shift
  cmake -S . -B "$folder" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache \
    "$@" > /dev/null
  ninja -C "$folder" --quiet
}

lint() {
  install_packages
  build Build
  git ls-files '*.h' '*.cpp' | xargs clang-format --dry-run -Werror
  git ls-files '*.cpp' \
    | xargs -P "$(nproc)" -n 2 clang-tidy --quiet -p Build 2> /dev/null
  echo "lint: clean"
}

run_tests() {
  install_packages
  build Build
  # The decision libraries are also tested under sanitizers, with fewer cases of
  # each property test.
  local options=(-DVANILLAWORKS_DECISIONS_ONLY=ON
    -DVANILLAWORKS_PROPERTY_RUNS=40)
  build Build-address "${options[@]}" \
    -DVANILLAWORKS_SANITIZE=address,undefined
  build Build-thread "${options[@]}" -DVANILLAWORKS_SANITIZE=thread
  grep -v '^#' KNOWN-RED.txt && echo "(known failures, not run)" || true
  local folder failed=0
  Meta/check-known-red.sh Build || failed=1
  for folder in Build-address Build-thread Build; do
    echo "== $folder"
    ctest --test-dir $folder --output-on-failure "$@" || failed=1
  done
  return $failed
}

case "${1:-}" in
  run)
    install_packages
    build Build
    shift
    exec Meta/run-sample.sh "$@"
    ;;
  test)
    shift
    run_tests "$@"
    ;;
  lint) lint ;;
  soak)
    install_packages
    build Build
    shift
    exec Build/Tests/System/vanillaworks-soak "$@"
    ;;
  measure)
    install_packages
    build Build
    shift
    exec Build/Utilities/vanillaworks-measure "$@"
    ;;
  *) usage ;;
esac
