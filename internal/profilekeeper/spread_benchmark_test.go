package profilekeeper_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/profilekeeper"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

const (
	benchmarkDomains  = 5
	benchmarkProfiles = 50
	changesPerDay     = 25_000
	day               = 24 * time.Hour
)

// BenchmarkSpread changes profiles at the rate of changesPerDay in a simulation of
// many keepers with simulated time. One iteration is one change and the time until
// the next one. The processor time covers all keepers and the encoding and decoding
// of their messages.
func BenchmarkSpread(b *testing.B) {
	for _, vms := range []int{10, 25, 50, 100} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) { benchmarkSpread(b, vms) })
	}
}

func benchmarkSpread(b *testing.B, vms int) {
	sim := newSimulation(1, noDefect)
	for i := range vms {
		sim.boot(identifier.VMID(fmt.Sprint("vm", i)), identifier.FailureDomain(fmt.Sprint("domain-", i%benchmarkDomains)))
	}
	sim.run(10 * time.Second)
	for i := range benchmarkProfiles {
		p := profileparser.Default()
		p.Name = identifier.ProfileName(fmt.Sprint("p", i))
		sim.write(sim.vms[0], profilekeeper.CreateProfile{Profile: p})
	}
	sim.run(10 * time.Second)
	sent, bytes, calls := sim.messagesSent, sim.bytesSent, storeCalls(sim)
	worst := time.Duration(0)
	n := 0
	for b.Loop() {
		worst = max(worst, changeAndWait(sim, n))
		n++
	}
	if sim.violation != nil {
		b.Fatal(sim.violation)
	}
	seconds := (day / changesPerDay).Seconds() * float64(n)
	b.ReportMetric(float64(sim.messagesSent-sent)/float64(n), "messages/change")
	b.ReportMetric(float64(sim.bytesSent-bytes)/seconds/float64(vms), "bytes/s/VM")
	b.ReportMetric(float64(storeCalls(sim)-calls)/seconds/benchmarkDomains, "storecalls/s/domain")
	b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(n)/float64(vms), "cpu-us/change/VM")
}

// changeAndWait makes change n, runs the simulation until the next change is due
// and returns how long change n took to be in force on all VMs.
func changeAndWait(sim *simulation, n int) time.Duration {
	v := sim.vms[n%len(sim.vms)]
	p := profileparser.Default()
	p.Name, p.Weight = identifier.ProfileName(fmt.Sprint("p", n%benchmarkProfiles)), 1+n%100
	e, _ := v.keeper.Book().Profile(p.Name)
	sim.write(v, profilekeeper.ChangeProfile{Profile: p, Base: e.Version})
	version := v.keeper.Book().Version
	start := sim.now
	taken := time.Duration(0)
	for sim.now.Sub(start) < day/changesPerDay {
		sim.run(stepInterval)
		if taken == 0 && lowestVersion(sim) >= version {
			taken = sim.now.Sub(start)
		}
	}
	if taken == 0 {
		sim.reportViolation("version %d was not in force everywhere after %v", version, day/changesPerDay)
	}
	return taken
}

func lowestVersion(sim *simulation) identifier.ProfileVersion {
	version := sim.vms[0].version
	for _, v := range sim.vms {
		version = min(version, v.version)
	}
	return version
}

func storeCalls(sim *simulation) uint64 {
	calls := uint64(0)
	for _, v := range sim.vms {
		calls += v.keeper.Status(sim.now).Counters.StoreCalls
	}
	return calls
}
