#!/bin/bash
# Runs the stand-in program of a case: run-case.sh CASE_FOLDER MAIN_CLASS. Exit code: 1 rule broken, 0 held, 2 not run.
folder=$(cd "$1" && pwd)
review=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$review/.." && pwd)
jar=$root/platform/target/coltsfootquay-node.jar
if [ ! -e "$jar" ] || [ ! -d "$review/target/classes" ]; then
    echo "run the build command of deploy/system.toml and review/build.sh first"
    exit 2
fi
temporary=$(mktemp -d)
program=
end_processes() {
    [ -n "$program" ] && kill -KILL "$program" 2>/dev/null
    if [ -e "$temporary/pids" ]; then
        while read -r pid; do
            kill -CONT "$pid" 2>/dev/null
            kill -KILL "$pid" 2>/dev/null
        done < "$temporary/pids"
    fi
    rm -rf "$temporary"
}
trap end_processes EXIT
trap 'exit 2' INT TERM HUP
java -Xmx512m -XX:+UseSerialGC -cp "$review/target/classes:$jar" $CASE_OPTIONS "$2" "$root" "$folder" "$temporary" &
program=$!
wait "$program"
code=$?
[ -n "$KEEP_LOG" ] && cp "$temporary"/*.log "$KEEP_LOG"
# A Java program that fails to start or ends with an exception exits with 1, so the verdicts have codes of their own.
case $code in 10) exit 0 ;; 11) exit 1 ;; *) exit 2 ;; esac
