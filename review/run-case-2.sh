#!/bin/bash
# Runs a case: run-case-2.sh FOLDER CLASS. Exit code 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -u
cd "$(dirname "$0")/.."
case_folder=$1
class=$2
work=$(mktemp -d) || exit 2
java_process=
end_processes() {
    if [ -n "$java_process" ]; then
        kill "$java_process" 2>/dev/null
        wait "$java_process" 2>/dev/null
    fi
    if [ -f "$work/pids" ]; then
        while read -r pid; do
            # A process that was already ended may have left its id to another one.
            if grep -q -s coltsfootquay-node.jar "/proc/$pid/cmdline" || grep -q -s standins-2 "/proc/$pid/cmdline"; then
                kill -KILL "$pid" 2>/dev/null
            fi
        done <"$work/pids"
    fi
    rm -rf "$work"
}
trap end_processes EXIT
trap 'exit 2' INT TERM HUP
timeout 118 java -Xmx512m -cp review/target/standins-2 "$class" "$work" "$case_folder/record.txt" &
java_process=$!
wait "$java_process"
result=$?
java_process=
case $result in
0 | 1) exit "$result" ;;
*) exit 2 ;;
esac
