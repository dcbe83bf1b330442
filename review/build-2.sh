#!/bin/sh
# Builds the stand-ins of review/stand-2 into target/, without a network.
set -eu
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
for file in review/stand-2/*.txt; do
	cp "$file" "$dir/$(basename "$file" .txt)"
done
mkdir -p target
out=$(pwd)/target/review2-case
cd "$dir"
GOWORK=off GOPROXY=off GOTOOLCHAIN=local go build -o "$out" .
