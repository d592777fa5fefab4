#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review into target/review-2. Needs
# only the compiler. A case is one program: review/N/NAME.cc with what all of them use.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O1 -Wall -Wextra -I. -pthread)
g++ "${flags[@]}" -c review/stand_ins_2/harness.cc -o target/review-2/harness.o
for source in review/{6,7,8,9,10}/*.cc; do
  [ -f "$source" ] || continue
  g++ "${flags[@]}" "$source" target/review-2/harness.o \
    -o "target/review-2/$(basename "$source" .cc)"
done
