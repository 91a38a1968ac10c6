#!/usr/bin/env bash
# Runs the case. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run. With TROUBLE=0 it does the same without the disruption. What
# was sent, answered and run is written to record.txt beside this script.
Case=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$Case/../.." || exit 2
Record=$Case/record.txt
Trouble=${TROUBLE:-1}
Program=target/review-3/leaving
if [ ! -x "$Program" ] || [ ! -x target/dragonflyvaned ]; then
  echo "build first: the build of the deploy file, then review/build-3.sh" >&2
  exit 2
fi
Folder=$(mktemp -d) || exit 2
trap 'rm -rf "$Folder"' EXIT
timeout -k 2 115 "$Program" "$PWD" "$Folder" "$Record" "$Trouble"
Code=$?
tail -n 3 "$Record"
[ "$Code" -le 1 ] || Code=2
exit "$Code"
