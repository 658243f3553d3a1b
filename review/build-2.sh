#!/bin/bash
# Builds the stand-ins of the cases 6 to 10. The program itself is built by the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -tags review -o target/review-2/stand ./review/stand-2
