package placer

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkBackend measures the memory and the time of adding a backend server.
func BenchmarkBackend(b *testing.B) {
	for _, size := range []int{300, 1_000, 3_000, 31_000} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) {
			backends := testBackends(size)
			for range b.N {
				before := heapBytes()
				p := newTestPlacer(backends)
				b.ReportMetric(float64(heapBytes()-before)/float64(size), "bytes/item")
				runtime.KeepAlive(p)
			}
		})
	}
}

// BenchmarkPlace measures placing and ending a task when 70% of all slots are in
// use.
func BenchmarkPlace(b *testing.B) {
	for _, policy := range []Policy{Random{}, TwoChoices{}, Reserve{}} {
		for _, size := range []int{50, 500, 5_000, 31_000} {
			b.Run(fmt.Sprintf("policy=%T/size=%d", policy, size), func(b *testing.B) {
				p := newTestPlacer(testBackends(size))
				placed := p.Place(epoch, testTasks(0, size*8*7/10, policy))
				tasks := testTasks(1_000_000, 100, policy)
				b.ResetTimer()
				for n := 0; n < b.N; n += len(tasks) {
					for _, old := range placed[:len(tasks)] {
						p.Step(epoch, TaskEnded{Backend: old.Backend, Ref: old.Ref, Succeeded: true, RunTime: time.Second})
					}
					placed = append(placed[len(tasks):], p.Place(epoch, tasks)...)
				}
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "tasks/s")
			})
		}
	}
}

// BenchmarkPeer measures the memory that a Placer uses for another entry VM.
func BenchmarkPeer(b *testing.B) {
	for _, size := range []int{10, 30, 100, 300} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) {
			members := make([]DomainMember, size)
			for i := range members {
				members[i] = DomainMember{
					Member: identifier.Member{VM: identifier.VMID(fmt.Sprint("vm", i)), Incarnation: 1},
					Domain: identifier.FailureDomain(fmt.Sprint("d", i%18)),
				}
			}
			for range b.N {
				p := newTestPlacer(nil)
				before := heapBytes()
				p.SetMembers(epoch, members)
				b.ReportMetric(float64(heapBytes()-before)/float64(size), "bytes/item")
				runtime.KeepAlive(p)
			}
		})
	}
}
