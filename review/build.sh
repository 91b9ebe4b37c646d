#!/usr/bin/env bash
# Builds the stand-ins of the review into bin/review-standin. They use the standard library only. Their sources are kept
# as text and built in a temporary folder, because they are no packages of the module: docs/architecture.md draws all of
# those.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for source in review/standin/*.go.txt; do
  cp "$source" "$folder/$(basename "$source" .txt)"
done
printf 'module standin\n\ngo 1.25\n' > "$folder/go.mod"
mkdir -p bin
(cd "$folder" && GOWORK=off GOFLAGS=-mod=mod GOPROXY=off CGO_ENABLED=0 go build -o standin .)
mv "$folder/standin" bin/review-standin
