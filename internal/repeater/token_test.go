package repeater

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// vmsWithEqualTokens returns two VMs that make equal tokens at the same time.
func vmsWithEqualTokens(t *rapid.T, now time.Time) (a, b identifier.Member) {
	seen := make(map[identifier.FencingToken]identifier.VMID)
	for i := rapid.IntRange(0, 100_000).Draw(t, "first"); ; i++ {
		vm := identifier.Member{VM: vmID(i), Incarnation: 1}
		token := New(now, Options{Self: vm}).newToken(0, 0)
		if earlier, ok := seen[token]; ok {
			return identifier.Member{VM: earlier, Incarnation: 1}, vm
		}
		seen[token] = vm.VM
	}
}

// TestOneOwnerAfterEqualTokens guards against two VMs that both own a server because
// they have taken it by equal tokens.
func TestOneOwnerAfterEqualTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(1_700_000_000_000)
		a, b := vmsWithEqualTokens(t, now)
		const server = identifier.BackendID("s-1")
		machines := make(map[identifier.Member]*Machine)
		var step func(self identifier.Member, e Event)
		step = func(self identifier.Member, e Event) {
			for _, effect := range append([]Effect(nil), machines[self].Step(now, e)...) {
				switch effect := effect.(type) {
				case Poll: // of a server that has seen no higher token
					step(self, PollAnswered{Call: effect.Call, Result: PollResult{Status: PollOK}, Clock: ServerClock{Known: true, Now: ServerTime(time.Hour), Generation: 1}})
				case Broadcast:
					for _, to := range effect.To {
						step(to, PeerMessage{From: self, Domain: "domain", Message: effect.Message})
					}
				case SendMessage:
					step(effect.To, PeerMessage{From: self, Domain: "domain", Message: effect.Message})
				}
			}
		}
		for _, vm := range []identifier.Member{a, b} {
			machines[vm] = New(now, Options{Self: vm, Domain: "domain", Weight: 100})
			step(vm, ServersChanged{Revision: 1, Servers: []Server{{ID: server, Domain: "domain", Pool: simPool, Cores: simCores}}})
		}
		now = now.Add(startupGrace)
		for vm := range machines {
			step(vm, Ticked{})
		}
		first, second := machines[a].owned[server], machines[b].owned[server]
		if first == nil || second == nil || first.token != second.token {
			t.Fatal("the VMs have not taken the server by equal tokens")
		}
		step(a, PeerLinked{Peer: b, Domain: "domain"})
		step(b, PeerLinked{Peer: a, Domain: "domain"})
		for range 10 {
			now = now.Add(simTick)
			step(a, Ticked{})
			step(b, Ticked{})
		}
		if ownsA, ownsB := machines[a].owned[server] != nil, machines[b].owned[server] != nil; ownsA == ownsB {
			t.Fatalf("%s owns the server: %t; %s owns it: %t", a, ownsA, b, ownsB)
		}
		if machines[a].owners[server].owner != machines[b].owners[server].owner {
			t.Fatalf("%s and %s know different owners", a, b)
		}
	})
}
