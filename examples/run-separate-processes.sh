#!/usr/bin/env bash
# Runs a whole system as separate processes on loopback and offers a workload:
# one platform stand-in, one process of backend servers, and entry VMs.
#
# usage: examples/run-separate-processes.sh steady|faults
#
# In "faults", entry VMs are killed (SIGKILL), paused (SIGSTOP, SIGCONT) and
# replaced (SIGTERM, then a new process) in turn while the workload runs.
#
# Environment, with defaults:
#   ENTRY_VMS=3  BACKENDS=50  DURATION=30s  LOAD=0.7  SEED=1  WORKLOAD=
#   FAILURE_DOMAINS=domain-a  FAULT_PAUSE=5  FREEZE=3  FIRST_PORT=17100
#   (ports from FIRST_PORT to FIRST_PORT+100+BACKENDS are used)
#   PROFILES=examples/profiles  OUT=out/separate
# The exit code is that of "pepperstand load": 1 if a promise was broken.
set -euo pipefail
cd "$(dirname "$0")/.."

mode=${1:-steady}
case $mode in
steady | faults) ;;
*)
	echo "usage: $0 steady|faults" >&2
	exit 2
	;;
esac

entry_vms=${ENTRY_VMS:-3}
backends=${BACKENDS:-50}
duration=${DURATION:-30s}
load=${LOAD:-0.7}
seed=${SEED:-1}
workload=${WORKLOAD:-}
fault_pause=${FAULT_PAUSE:-5}
freeze=${FREEZE:-3}
first_port=${FIRST_PORT:-17100}
profiles=${PROFILES:-examples/profiles}
out=${OUT:-out/separate}
IFS=, read -r -a domains <<<"${FAILURE_DOMAINS:-domain-a}"

bin=$out/bin
platform=127.0.0.1:$first_port
administration=127.0.0.1:$((first_port + 1))

mkdir -p "$bin"
go build -o "$bin/" ./cmd/pepperstand ./cmd/peppertrackd ./cmd/peppertrack

# pids of the processes that this script started and has not ended yet.
declare -A pids=()
faults_pid=

# end NAME... ends processes of this script, with a second signal after 3 s.
end() {
	local name tries
	for name in "$@"; do
		kill -CONT "${pids[$name]}" 2>/dev/null || true
		kill -TERM "${pids[$name]}" 2>/dev/null || true
	done
	for name in "$@"; do
		for ((tries = 0; ; tries++)); do
			kill -0 "${pids[$name]}" 2>/dev/null || break
			if [ $tries -eq 30 ]; then
				kill -TERM "${pids[$name]}" 2>/dev/null || true
			fi
			sleep 0.1
		done
		unset "pids[$name]"
	done
}

end_all() {
	local vm vms=()
	if [ -n "$faults_pid" ]; then
		kill "$faults_pid" 2>/dev/null || true
		wait "$faults_pid" 2>/dev/null || true
	fi
	for ((vm = 0; vm < entry_vms; vm++)); do
		if [ -s "$out/vm-$vm.pid" ]; then
			pids[vm-$vm]=$(cat "$out/vm-$vm.pid")
			vms+=("vm-$vm")
		fi
	done
	end "${vms[@]}"
	end "${!pids[@]}"
}
trap end_all EXIT

callers_port() { echo $((first_port + 10 + 3 * $1)); }

domain_of() { echo "${domains[$(($1 % ${#domains[@]}))]}"; }

# start_vm NUMBER starts an entry VM and notes its pid in a file, since the
# faults run in a process of their own.
start_vm() {
	local port domain
	port=$(callers_port "$1")
	domain=$(domain_of "$1")
	# The platform lists the VMs that it starts.
	curl -sf -o /dev/null "http://$platform/v1/vms" -d "{\"ttlMillis\":0,\"vms\":[{\"id\":\"vm-$1\",
		\"kind\":\"entryVM\",\"failureDomain\":\"$domain\",\"address\":\"127.0.0.1:$port\",\"state\":\"live\"}]}"
	"$bin/peppertrackd" \
		--set "vm=vm-$1" \
		--set "failureDomain=$domain" \
		--set "failureDomains=[$(IFS=,; echo "${domains[*]}")]" \
		--set "listen.callers=127.0.0.1:$port" \
		--set "listen.operators=127.0.0.1:$((port + 1))" \
		--set "listen.peers=127.0.0.1:$((port + 2))" \
		--set "peers=[127.0.0.1:$((first_port + 12))]" \
		--set "platform.url=http://$platform" \
		--set "callers.requireTokens=false" \
		>>"$out/vm-$1.log" 2>&1 &
	echo $! >"$out/vm-$1.pid"
}

await() {
	local tries=0
	until curl -sf -o /dev/null "$1"; do
		tries=$((tries + 1))
		if [ $tries -ge 300 ]; then
			echo "$1 did not answer in 30 s" >&2
			exit 1
		fi
		sleep 0.1
	done
}

# disturb kills, pauses and replaces the entry VMs in turn.
disturb() {
	local round vm pid
	for ((round = 0; ; round++)); do
		sleep "$fault_pause"
		vm=$(((round + round / 3) % entry_vms))
		pid=$(cat "$out/vm-$vm.pid")
		case $((round % 3)) in
		0)
			echo "$(date +%T) kill vm-$vm"
			kill -KILL "$pid"
			wait "$pid" 2>/dev/null || true
			sleep 1
			start_vm "$vm"
			;;
		1)
			echo "$(date +%T) pause vm-$vm for $freeze s"
			kill -STOP "$pid"
			sleep "$freeze"
			kill -CONT "$pid"
			;;
		2)
			echo "$(date +%T) replace vm-$vm"
			kill -TERM "$pid"
			while kill -0 "$pid" 2>/dev/null; do sleep 0.1; done
			start_vm "$vm"
			;;
		esac
	done
}

rm -f "$out"/*.log "$out"/*.pid
"$bin/pepperstand" platform --listen "$platform" >"$out/platform.log" 2>&1 &
pids[platform]=$!
await "http://$platform/v1/counters"
"$bin/pepperstand" backend --admin "$administration" --platform "http://$platform" \
	--count "$backends" --first-port $((first_port + 100)) --failure-domains "$(IFS=,; echo "${domains[*]}")" >"$out/backends.log" 2>&1 &
pids[backends]=$!
await "http://$administration/v1/servers"

addresses=()
for ((vm = 0; vm < entry_vms; vm++)); do
	start_vm "$vm"
	addresses+=("127.0.0.1:$(callers_port "$vm")")
done
for address in "${addresses[@]}"; do
	await "http://$address/readyz"
done
"$bin/peppertrack" apply --reason "separate processes" --server "http://127.0.0.1:$((first_port + 11))" "$profiles" >"$out/apply.log"
sleep 2

if [ "$mode" = faults ]; then
	disturb >"$out/faults.log" 2>&1 &
	faults_pid=$!
fi

arguments=(--entry-vms "$(IFS=,; echo "${addresses[*]}")" --backends "$administration"
	--seed "$seed" --duration "$duration" --load "$load" --report "$out/report.json")
if [ -n "$workload" ]; then
	arguments+=(--workload "$workload")
fi
status=0
"$bin/pepperstand" load "${arguments[@]}" || status=$?
if [ "$mode" = faults ]; then
	cat "$out/faults.log"
fi
exit $status
