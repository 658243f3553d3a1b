#!/bin/bash
# Plays the case; see claim.txt. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/peridotpitch ] && [ -x target/review-2/stand ] || { echo "build first: the build line of deploy/system.toml, and review/build-2.sh" >&2; exit 2; }
exec target/review-2/stand returning review/10/record.txt
