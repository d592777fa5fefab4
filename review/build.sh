#!/usr/bin/env bash
# Builds the stand-ins and cases into build-review/. Needs only g++.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review
objects=()
for source in review/stand_ins/*.cc; do
  object=build-review/$(basename "$source" .cc).o
  g++ -std=c++20 -O1 -g -Wall -Wextra -Wno-missing-field-initializers -pthread -I. -c "$source" -o "$object" &
  objects+=("$object")
done
for job in $(jobs -p); do wait "$job"; done
for source in review/*/case*.cc; do
  number=$(basename "$(dirname "$source")")
  program=build-review/$(basename "$source" .cc)_$number
  g++ -std=c++20 -O1 -g -Wall -Wextra -Wno-missing-field-initializers -pthread -I. "$source" "${objects[@]}" -o "$program" &
done
for job in $(jobs -p); do wait "$job"; done
