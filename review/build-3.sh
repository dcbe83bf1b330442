#!/bin/bash
# Builds the stand-ins of the cases 11 to 15, without a network.
set -eu
cd "$(dirname "$0")/.."
root=$PWD
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
for source in review/stand-3/*.go.txt; do
  cp "$source" "$work/$(basename "$source" .txt)"
done
printf 'module stand3\n\ngo 1.26\n' > "$work/go.mod"
mkdir -p target
cd "$work"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -o "$root/target/review3-stand" .
