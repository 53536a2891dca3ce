#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review into review/bin. Needs what the deploy
# file's build needs, and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
flags="-std=c++20 -O1 -g -Wall -Wextra -pthread"
g++ $flags -c rig.cpp -o bin/rig.o
for source in */case.cpp; do
  number=$(dirname "$source")
  g++ $flags "$source" bin/rig.o -o "bin/case-$number"
done
