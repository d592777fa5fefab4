#!/usr/bin/env bash
# Plays this case's two parts; see claim.txt. Exit status: 1 if the rule was
# broken in one of them, 0 if it held in both, 2 if one couldn't run.
# TROUBLE=0 plays the same without the disruption.
export TROUBLE=${TROUBLE:-1}
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
verdict=0
: >"$here/record.txt"
for part in case case_late; do
  program=build-review/${part}_$(basename "$here")
  [ -x "$program" ] || { echo "run review/build.sh first" >&2; exit 2; }
  mkdir "$folder/$part"
  timeout -k 1 57 "$program" "$folder/record.txt" "$folder/$part"
  status=$?
  { echo "== $part"; cat "$folder/record.txt"; } >>"$here/record.txt"
  echo "$part: $(tail -1 "$folder/record.txt")"
  if [ "$status" -eq 1 ]; then
    verdict=1
  elif [ "$status" -ne 0 ] && [ "$verdict" -eq 0 ]; then
    verdict=2
  fi
done
exit "$verdict"
