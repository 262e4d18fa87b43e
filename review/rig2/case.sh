#!/bin/sh
# Plays one case: case.sh CASE FOLDER. The program is started by the deploy file's `run`; all else is a thread of the rig.
set -u
ROOT=$(cd "$(dirname "$0")/../.." && pwd)
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$ROOT/deploy/balancer.toml")
rig="$ROOT/target/review-2/rig"
if [ -z "$RUN" ] || [ ! -x "$rig" ]; then
    echo "not built: the deploy file's build and review/build-2.sh come first" >&2
    exit 2
fi
TMPDIR=$(mktemp -d) || exit 2
TROUBLE=${TROUBLE:-1}
export ROOT RUN TMPDIR TROUBLE
rig_pid=
clean() {
    [ -n "$rig_pid" ] && kill "$rig_pid" 2>/dev/null
    # The rig ends the program itself; this is for a rig that was ended.
    [ -s "$TMPDIR/router.pid" ] && kill -9 "$(cat "$TMPDIR/router.pid")" 2>/dev/null
    rm -rf "$TMPDIR"
}
trap 'clean; exit 2' INT TERM HUP
"$rig" "$1" "$2" &
rig_pid=$!
wait "$rig_pid"
result=$?
rig_pid=
if [ -s "$TMPDIR/router.log" ] && [ -n "${KEEP_LOG:-}" ]; then cp "$TMPDIR/router.log" "$KEEP_LOG"; fi
clean
case $result in 0 | 1) exit "$result" ;; *) exit 2 ;; esac
