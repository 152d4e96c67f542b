#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
folder=$(mktemp -d)
end()
{
    if [ -f "$folder/pids" ]; then
        while read -r pid; do
            if [ "$(readlink "/proc/$pid/exe" 2> /dev/null)" = "$root/target/bin/camphorhitchd" ]; then kill -9 "$pid"; fi
        done < "$folder/pids"
    fi
    if [ -n "${KEEP_LOGS:-}" ]; then cp "$folder"/*.log "$KEEP_LOGS"; fi
    rm -rf "$folder"
}
trap end EXIT
cd "$root" || exit 2
[ -x target/bin/camphorhitchd ] && [ -x target/review-3/review_case ] || exit 2
timeout -s KILL 115 target/review-3/review_case target/bin/camphorhitchd "$folder" "$here/record.txt" cancel
case $? in
0) exit 0 ;;
1) exit 1 ;;
*) exit 2 ;;
esac
