#!/usr/bin/env bash
# Measures the figures behind docs/CAPACITY.md, about four minutes on an idle
# machine, and derives the page from them.
set -euo pipefail
cd "$(dirname "$0")/../.."
out=docs/capacity/benchmarks.txt
{
	go test -run xxx -bench 'Task|Queued' ./internal/dispatcher
	go test -run xxx -bench 'QueuedTask|RunningTask|Team|Decision' ./internal/limiter
	go test -run xxx -bench 'Backend|Place|Peer' ./internal/placer
	go test -run xxx -bench 'Claim|Ending|Record|Takeover' ./internal/claimer
	go test -run xxx -bench Spread -benchtime 300x ./internal/profilekeeper
	go test -run xxx -bench Book -benchtime 50x ./internal/profilekeeper
	go test -run xxx -bench IdleLinks -benchtime 1x ./internal/peerlinker
	go test -run xxx -bench Start -cpu 2 ./internal/backendcaller
} | grep -E '^(Benchmark|goos|goarch|cpu|pkg)' >"$out.new"
mv "$out.new" "$out"
go run ./cmd/pepperstand capacity
