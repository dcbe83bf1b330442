#!/usr/bin/env bash
# Runs seven entry VMs in three failure domains and a platform stand-in as
# separate processes on loopback, and measures how long changes of profiles take
# to be in force everywhere: without faults, with a slow store, while the store is
# cut off from one failure domain, and while the store restarts again and again.
#
# Environment, with defaults: CHANGES=100  FIRST_PORT=17300  OUT=out/spread
set -euo pipefail
cd "$(dirname "$0")/.."

changes=${CHANGES:-100}
first_port=${FIRST_PORT:-17300}
out=${OUT:-out/spread}
domains=(domain-a domain-b domain-c)
vms=7

bin=$out/bin
platform=127.0.0.1:$first_port
mkdir -p "$bin"
go build -o "$bin/" ./cmd/pepperstand ./cmd/peppertrackd

pids=()
end_all() {
	local pid
	for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	wait
}
trap end_all EXIT

await() {
	local tries
	for ((tries = 0; tries < 300; tries++)); do
		if curl -sf -o /dev/null "$1"; then return; fi
		sleep 0.1
	done
	echo "$1 did not answer in 30 s" >&2
	exit 1
}

no_faults='{"down":false,"delayMillis":0,"cutFailureDomains":[]}'

# faults BODY sets faults of the store; what BODY leaves out stays as it was.
faults() { curl -sf -o /dev/null -X POST -d "$1" "http://$platform/v1/faults"; }

"$bin/pepperstand" platform --listen "$platform" >"$out/platform.log" 2>&1 &
pids+=($!)
await "http://$platform/v1/counters"
# An entry VM is ready once it knows a backend server.
"$bin/pepperstand" backend --admin "127.0.0.1:$((first_port + 1))" --platform "http://$platform" \
	--count 1 --failure-domains domain-a >"$out/backend.log" 2>&1 &
pids+=($!)
operators=
for ((vm = 0; vm < vms; vm++)); do
	port=$((first_port + 10 + 3 * vm))
	"$bin/peppertrackd" --set "vm=vm-$vm" --set "failureDomain=${domains[$((vm % 3))]}" \
		--set "failureDomains=[domain-a, domain-b, domain-c]" \
		--set "listen.callers=127.0.0.1:$port" --set "listen.operators=127.0.0.1:$((port + 1))" \
		--set "listen.peers=127.0.0.1:$((port + 2))" --set "peers=[127.0.0.1:$((first_port + 12))]" \
		--set "platform.url=http://$platform" --set "callers.requireTokens=false" >"$out/vm-$vm.log" 2>&1 &
	pids+=($!)
	operators+=${operators:+,}http://127.0.0.1:$((port + 1))
done
for ((vm = 0; vm < vms; vm++)); do await "http://127.0.0.1:$((first_port + 10 + 3 * vm))/readyz"; done
sleep 3

measure() {
	echo "== $1"
	"$bin/pepperstand" spread --operators "$operators" --changes "$changes" | tee "$out/$1.json"
}

counters() { curl -sf "http://$platform/v1/counters"; }

measure without-faults
faults '{"delayMillis":400}'
measure slow-store
faults "$no_faults"
faults '{"cutFailureDomains":["domain-b"]}'
sleep 10
measure domain-cut-off-from-store
faults "$no_faults"
while sleep 4; do
	faults '{"down":true}'
	sleep 2
	faults "$no_faults"
done &
restarts=$!
measure store-restarts
kill "$restarts"
faults "$no_faults"

echo "== steady state, 30 s without changes: calls of the store and bytes between peers by VM"
bytes() {
	local vm
	for ((vm = 0; vm < vms; vm++)); do
		curl -sf "http://127.0.0.1:$((first_port + 11 + 3 * vm))/debug/vars" | grep -o '"bytesSent": *[0-9]*' | head -n 1
	done
}
sleep 10
counters >"$out/counters-before.json"
bytes >"$out/bytes-before.txt"
sleep 30
counters >"$out/counters-after.json"
bytes >"$out/bytes-after.txt"
cat "$out/counters-before.json" "$out/counters-after.json"
paste "$out/bytes-before.txt" "$out/bytes-after.txt"
