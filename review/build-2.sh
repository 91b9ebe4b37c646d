#!/bin/sh
# Builds the stand-ins and clients of the cases 6 to 10 into review/standin-2/bin. They use the standard library alone.
set -eu
cd "$(dirname "$0")/standin-2"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
for file in *.go.txt; do cp "$file" "$work/${file%.txt}"; done
printf 'module case\n\ngo 1.25\n' > "$work/go.mod"
mkdir -p bin
out=$(pwd)/bin/case
cd "$work"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o "$out" .
