#!/usr/bin/env bash
# Runs a scripted case of the third review: run-case-3.sh FOLDER CLASS. Exit codes: 0 rule kept, 1 rule broken, 2 the
# case could not run. All processes that it starts end with it.
set -uo pipefail
case_folder="$(cd "$1" && pwd)"
cd "$(dirname "${BASH_SOURCE[0]}")/.."
if [ ! -d review/standins-3/target ] || [ ! -f platform/target/coltsfootquay-node.jar ]; then
  echo "build first: the build command of deploy/system.toml, then review/build-3.sh" >&2
  exit 2
fi
work="$(mktemp -d)"
driver=
cleanup() {
  [ -z "$driver" ] || kill -KILL "$driver" 2>/dev/null
  if [ -f "$work/pids" ]; then
    while read -r pid; do
      kill -KILL "$pid" 2>/dev/null
    done <"$work/pids"
  fi
  if [ -n "${KEEP_LOGS:-}" ]; then echo "logs: $work"; else rm -rf "$work"; fi
}
trap cleanup EXIT
trap 'exit 2' INT TERM HUP
java -Xmx512m -cp review/standins-3/target -Dcase.folder="$work" "$2" "$case_folder/record.txt" &
driver=$!
wait "$driver"
result=$?
driver=
[ "$result" -eq 0 ] || [ "$result" -eq 1 ] || result=2
exit "$result"
