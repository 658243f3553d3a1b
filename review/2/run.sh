#!/usr/bin/env bash
# Plays the case with the stand-ins of review/build.sh. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
dir="$(cd "$(dirname "$0")" && pwd)"
cd "$dir/../.." || exit 2
[ -x target/peridotpitch ] && [ -x target/review/stand ] || { echo "build first: the deploy file's build, then review/build.sh" >&2; exit 2; }
exec target/review/stand -case ends -dir "$dir"
