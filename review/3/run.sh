#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/wrenusher ] && [ -x build/review/case3 ] || exit 2
timeout 115 build/review/case3 "$here"
code=$?
[ $code -le 1 ] || code=2
exit $code
