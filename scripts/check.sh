#!/usr/bin/env bash
# Runs the formatter and the linters, prints all findings and fails if there are any.
set -euo pipefail
cd "$(dirname "$0")/.."
unformatted=$(go tool -modfile=tools.mod goimports -l $(git ls-files --cached --others --exclude-standard '*.go'))
if [ -n "$unformatted" ]; then
  echo "goimports: these files are not formatted:"
  echo "$unformatted"
  exit 1
fi
go vet ./...
go tool -modfile=tools.mod revive -config revive.toml ./...
go tool -modfile=tools.mod errcheck ./...
echo "check: formatter and linters found nothing"
