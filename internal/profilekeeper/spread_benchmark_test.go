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
	changesADay       = 25_000
	day               = 24 * time.Hour
)

// BenchmarkSpread changes profiles at the rate of changesADay, on the paused
// clock, in one process of many keepers. One iteration is one change with the
// time until the next; the processor time is that of all keepers, with the
// encoding and decoding of their messages.
func BenchmarkSpread(b *testing.B) {
	for _, vms := range []int{10, 25, 50, 100} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) { benchmarkSpread(b, vms) })
	}
}

func benchmarkSpread(b *testing.B, vms int) {
	w := newWorld(1, noDefect)
	for i := range vms {
		w.boot(identifier.VMID(fmt.Sprint("vm", i)), identifier.FailureDomain(fmt.Sprint("domain-", i%benchmarkDomains)))
	}
	w.run(10 * time.Second)
	for i := range benchmarkProfiles {
		p := profileparser.Default()
		p.Name = identifier.ProfileName(fmt.Sprint("p", i))
		w.write(w.vms[0], profilekeeper.CreateProfile{Profile: p})
	}
	w.run(10 * time.Second)
	sent, bytes, calls := w.sent, w.bytes, storeCalls(w)
	worst := time.Duration(0)
	n := 0
	for b.Loop() {
		worst = max(worst, changeAndWait(w, n))
		n++
	}
	if w.violated != nil {
		b.Fatal(w.violated)
	}
	seconds := (day / changesADay).Seconds() * float64(n)
	b.ReportMetric(float64(w.sent-sent)/float64(n), "messages/change")
	b.ReportMetric(float64(w.bytes-bytes)/seconds/float64(vms), "bytes/s/VM")
	b.ReportMetric(float64(storeCalls(w)-calls)/seconds/benchmarkDomains, "storecalls/s/domain")
	b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(n)/float64(vms), "cpu-us/change/VM")
}

// changeAndWait makes the change n, lets the time until the next one pass and
// returns how long the change took to be in force on all VMs.
func changeAndWait(w *world, n int) time.Duration {
	v := w.vms[n%len(w.vms)]
	p := profileparser.Default()
	p.Name, p.Weight = identifier.ProfileName(fmt.Sprint("p", n%benchmarkProfiles)), 1+n%100
	e, _ := v.keeper.Book().Profile(p.Name)
	w.write(v, profilekeeper.ChangeProfile{Profile: p, Base: e.Version})
	version := v.keeper.Book().Version
	start := w.now
	taken := time.Duration(0)
	for w.now.Sub(start) < day/changesADay {
		w.run(pace)
		if taken == 0 && lowest(w) >= version {
			taken = w.now.Sub(start)
		}
	}
	if taken == 0 {
		w.violate("version %d was not in force everywhere after %v", version, day/changesADay)
	}
	return taken
}

func lowest(w *world) identifier.ProfileVersion {
	version := w.vms[0].version
	for _, v := range w.vms {
		version = min(version, v.version)
	}
	return version
}

func storeCalls(w *world) uint64 {
	calls := uint64(0)
	for _, v := range w.vms {
		calls += v.keeper.Status(w.now).Counters.StoreCalls
	}
	return calls
}
