package profilekeeper_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/profilekeeper"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

const (
	recoveryTime       = 20 * time.Second // after the faults end, for all VMs to get the newest book
	maxLiveVMs         = 8
	maxSteps           = 60
	maxDefectHistories = 300 // within which a defect must be detected
)

var domains = []identifier.FailureDomain{"perth-a", "perth-b", "perth-c"}

// runHistory runs a random history of faults and changes and then ends the faults.
// It returns the first violated property, or nil.
func runHistory(t *rapid.T, d defect) (*simulation, error) {
	sim := newSimulation(rapid.Uint64().Draw(t, "seed"), d)
	for i := range rapid.IntRange(1, 5).Draw(t, "vms") {
		sim.boot(identifier.VMID(fmt.Sprint("vm", i)), domains[i%len(domains)])
	}
	for range rapid.IntRange(5, maxSteps).Draw(t, "steps") {
		injectRandomEvent(t, sim)
		sim.run(time.Duration(rapid.IntRange(0, 30).Draw(t, "wait")) * stepInterval)
		if sim.violation != nil {
			return sim, sim.violation
		}
	}
	sim.endFaultsAndCheck(rapid.Bool().Draw(t, "storeBack"))
	return sim, sim.violation
}

// injectRandomEvent makes one random change or injects or ends one random fault.
func injectRandomEvent(t *rapid.T, sim *simulation) {
	v := sim.vms[rapid.IntRange(0, len(sim.vms)-1).Draw(t, "vm")]
	domain := rapid.SampledFrom(domains).Draw(t, "domain")
	switch rapid.IntRange(0, 15).Draw(t, "act") {
	case 0, 1, 2, 3:
		sim.write(v, drawOperation(t, v.keeper.Book()))
	case 4:
		other := sim.vms[rapid.IntRange(0, len(sim.vms)-1).Draw(t, "other")]
		first, second := drawOperation(t, v.keeper.Book()), drawOperation(t, other.keeper.Book())
		if other != v { // one VM's writer makes one change at a time
			sim.faultCounts["concurrent changes"]++
			sim.store.beforeNextSwap = func() { sim.write(other, second) }
		}
		sim.write(v, first)
		sim.store.beforeNextSwap = nil
	case 5:
		sim.faultCounts["VM replaced"]++
		if sim.store.down {
			sim.faultCounts["VM booted during a store outage"]++
		}
		sim.boot(v.peer.Member.VM, v.peer.Domain)
	case 6:
		if len(sim.vms) < maxLiveVMs {
			sim.faultCounts["VM added"]++
			sim.boot(identifier.VMID(fmt.Sprint("more", sim.rand.Uint64())), domain)
		}
	case 7:
		sim.faultCounts["VM paused"]++
		v.paused = true
	case 8:
		for _, v := range sim.vms {
			v.paused = false
		}
		sim.updateLinks()
	case 9, 10:
		sim.faultCounts["failure domains cut off or back"]++
		pair := domainPair(domain, rapid.SampledFrom(domains).Draw(t, "cut from"))
		sim.partitions[pair] = !sim.partitions[pair] && pair[0] != pair[1]
		sim.updateLinks()
	case 11:
		sim.faultCounts["store down or back"]++
		sim.store.down = !sim.store.down
	case 12:
		sim.faultCounts["store cut off from a domain or back"]++
		sim.store.cutDomains[domain] = !sim.store.cutDomains[domain]
	case 13:
		sim.store.staleReads = !sim.store.staleReads
	case 14:
		sim.store.loseNextAnswer = true
	case 15:
		sim.lossRate = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
		sim.duplicationRate = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "copies")
		sim.maxDelay = rapid.SampledFrom([]time.Duration{20 * time.Millisecond, 2 * time.Second}).Draw(t, "delay")
	}
}

// drawOperation draws an operation that is plausible for an operator who has seen
// a book.
func drawOperation(t *rapid.T, seen profilekeeper.Book) profilekeeper.Operation {
	name := identifier.ProfileName(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"))
	p := profileparser.Default()
	p.Name, p.Weight = name, rapid.IntRange(1, 100).Draw(t, "weight")
	e, known := seen.Profile(name)
	switch {
	case !known || e.Profile.Retired:
		return profilekeeper.CreateProfile{Profile: p, Revive: rapid.Bool().Draw(t, "revive")}
	case rapid.IntRange(0, 3).Draw(t, "retire") == 0:
		return profilekeeper.RetireProfile{Name: name, Base: e.Version}
	}
	return profilekeeper.ChangeProfile{Profile: p, Base: e.Version}
}

// endFaultsAndCheck ends all faults and checks that every VM gets the newest book.
// A store outage ends only if storeBack is set.
func (sim *simulation) endFaultsAndCheck(storeBack bool) {
	sim.partitions = make(map[[2]identifier.FailureDomain]bool)
	sim.lossRate, sim.duplicationRate, sim.maxDelay = 0, 0, 20*time.Millisecond
	sim.store.staleReads, sim.store.loseNextAnswer = false, false
	for _, v := range sim.vms {
		v.paused = false
	}
	if storeBack {
		sim.store.down = false
		clear(sim.store.cutDomains)
	}
	sim.updateLinks()
	newest := identifier.ProfileVersion(0)
	for _, v := range sim.vms {
		newest = max(newest, v.version)
	}
	if storeBack {
		newest = max(newest, identifier.ProfileVersion(len(sim.acceptedChains)-1))
	}
	sim.run(recoveryTime)
	for _, v := range sim.vms {
		if v.version < newest {
			sim.reportViolation("%v is still at version %d, want %d", v.peer.Member, v.version, newest)
		}
	}
}

// noDeadline hides the method Deadline, which must not be called in a synctest
// bubble.
type noDeadline struct{ rapid.TB }

// TestSpread checks these properties of keepers and writers under faults: the
// version on a VM never decreases; every version on a VM was accepted by the store;
// no accepted change is lost; no refused change is in force; and after the faults
// end, all VMs get the newest book.
func TestSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		histories, accepted := 0, 0
		faults := make(map[string]int)
		rapid.Check(noDeadline{t}, func(t *rapid.T) {
			sim, err := runHistory(t, noDefect)
			if err != nil {
				t.Fatal(err)
			}
			histories++
			accepted += len(sim.accepted)
			for kind, n := range sim.faultCounts {
				faults[kind] += n
			}
		})
		t.Logf("%d histories with %d accepted changes", histories, accepted)
		for _, kind := range slices.Sorted(maps.Keys(faults)) {
			t.Logf("%6d %s", faults[kind], kind)
		}
	})
}

// TestSpreadDetectsDefects checks that the properties of TestSpread detect each
// defect within maxDefectHistories histories.
func TestSpreadDetectsDefects(t *testing.T) {
	for _, d := range []defect{adoptsStale, unconditionalSwap, falseNotRun, neverPulls, neverSendsDigests} {
		t.Run(string(d), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				history := rapid.Custom(func(t *rapid.T) error {
					_, err := runHistory(t, d)
					return errors.Wrap(err, "detected") // nil if err is nil
				})
				for seed := range maxDefectHistories {
					if err := history.Example(seed); err != nil {
						t.Logf("history %d: %v", seed, err)
						return
					}
				}
				t.Errorf("not detected in %d histories", maxDefectHistories)
			})
		})
	}
}
