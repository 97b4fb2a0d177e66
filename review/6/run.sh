#!/bin/sh
# Runs the case; see claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run.
# With TROUBLE=0 it does the same without the disruption. Needs the build of the deploy file and build-2.sh.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
"$root/review/standins-2/target/release/review-standins-2" dropped-return "$root" "$folder"
code=$?
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
