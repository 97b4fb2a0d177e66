#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
case_name=abort
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
program=review/standins/target/release/review-standins
[ -x "$program" ] || review/build.sh >&2 || exit 2
[ -x target/release/knotlanding ] || { echo "build the service first: deploy/service.toml" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 118 "$program" "$case_name" "$here/record.txt" "$folder"
code=$?
[ -n "$KEEP_LOGS" ] && cp "$folder"/*.log "$KEEP_LOGS"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
