#!/usr/bin/env bash
# Runs the formatter, the linters and all tests with the race detector, including the fuzz
# seeds and the checks of bounds. Tests listed in KNOWN-RED.txt are printed and skipped.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/check.sh
known_failures=$(awk -F' \\| ' '!/^#/ && NF > 1 {print $1}' KNOWN-RED.txt)
skip=()
if [ -n "$known_failures" ]; then
  echo "known failures, skipped (KNOWN-RED.txt):"
  grep -v '^#' KNOWN-RED.txt
  skip=(-skip "^($(echo "$known_failures" | paste -sd'|' -))\$")
fi
go test -race -count=1 -timeout 8m "${skip[@]}" ./...
