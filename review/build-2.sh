#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into build-review-2/, after the build of the
# deploy file: they link its libraries in target/. Each program contains its stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/rig2 -B build-review-2 -DCMAKE_BUILD_TYPE=Release > /dev/null
cmake --build build-review-2 -j8
