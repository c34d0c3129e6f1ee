#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 runs it without the disruption.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
[[ -x target/cedarpoint || -n "${CEDARPOINT:-}" ]] || export CEDARPOINT=build/cedarpoint
export RECORD_FILE="$here/record.txt"
review/build.sh || exit 2
timeout -k 2 100 review/bin/torn_answer
status=$?
((status <= 2)) || status=2
exit "$status"
