#!/usr/bin/env bash
# Builds the stand-ins of the scripts. It runs after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -tags review -o target/review/ ./review/stand
