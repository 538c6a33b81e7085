# Sourced by run.sh of a case, with the folder of the case and the main class of its stand-in program as arguments.
# Exit code of the script: 1 rule broken, 0 rule held, 2 not run. TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
folder=$(cd "$1" && pwd)
review=$(cd "$folder/.." && pwd)
root=$(cd "$review/.." && pwd)
jar=$root/platform/target/coltsfootquay-node.jar
program=
temporary=

end_processes() {
    trap '' INT TERM HUP QUIT PIPE
    if [ -n "$program" ]; then
        kill -KILL "$program" 2>/dev/null
        wait "$program" 2>/dev/null
    fi
    if [ -n "$temporary" ]; then
        if [ -e "$temporary/pids" ]; then
            while read -r pid; do
                # The process may have ended and its id been given to another one.
                case $(tr '\0' ' ' 2>/dev/null < "/proc/$pid/cmdline") in
                    *coltsfootquay-node.jar*) kill -KILL "$pid" 2>/dev/null ;;
                esac
            done < "$temporary/pids"
        fi
        rm -rf "$temporary"
    fi
}
trap end_processes EXIT
trap 'exit 2' INT TERM HUP QUIT PIPE

if [ ! -e "$jar" ] || [ ! -d "$review/target/classes" ]; then
    echo "run the build command of deploy/system.toml and review/build.sh first"
    exit 2
fi
temporary=$(mktemp -d) || exit 2
java -Xmx512m -XX:+UseSerialGC -cp "$review/target/classes:$jar" $CASE_OPTIONS "$2" "$root" "$folder" "$temporary" &
program=$!
# Waits with a builtin, so that a signal is handled at once and a program that hangs is ended.
exec {never}<> <(:)
while kill -0 "$program" 2>/dev/null && [ "$SECONDS" -lt 116 ]; do
    read -r -t 0.2 -u "$never"
done
if kill -0 "$program" 2>/dev/null; then
    echo "the case did not end in time"
    exit 2
fi
wait "$program"
code=$?
[ -n "$KEEP_LOG" ] && cp "$temporary"/*.log "$KEEP_LOG"
# A Java program that fails to start or ends with an exception exits with 1, so the verdicts have codes of their own.
case $code in 10) exit 0 ;; 11) exit 1 ;; *) exit 2 ;; esac
