#!/usr/bin/env bash
# Builds the stand-ins of the review cases into target/, from the sources in
# review/stand. They use the standard library alone, so no network is needed.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
# The sources have another extension, since they hold names of the platform's protocol.
for source in "$root"/review/stand/*.go.txt; do
	name=$(basename "$source" .txt)
	cp "$source" "$work/$name"
done
printf 'module standin\n\ngo 1.26\n' >"$work/go.mod"
mkdir -p "$root/target"
cd "$work"
GOWORK=off GOPROXY=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o "$root/target/review-standin" .
