package peerlinker

import (
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// idleMeasureTime is the time over which idle links are measured.
const idleMeasureTime = 2 * time.Second

// BenchmarkIdleLinks measures the memory, the processor time and the sent bytes
// of links that carry only pings and peer tables. Both ends of every link are in
// this process.
func BenchmarkIdleLinks(b *testing.B) {
	for _, size := range []int{3, 6, 12, 30} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) {
			for range b.N {
				measureIdleLinks(b, size)
			}
		})
	}
}

func measureIdleLinks(b *testing.B, vms int) {
	before := heapBytes()
	var up atomic.Int64
	linkers := make([]*Linker, vms)
	var seeds []string
	for i := range linkers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		linkers[i] = New(Options{
			Self: Peer{
				Member:  identifier.Member{VM: identifier.VMID(fmt.Sprint("vm", i)), Incarnation: 1},
				Domain:  "a",
				Address: listener.Addr().String(),
			},
			Seeds: seeds,
			Handle: func(e Event) {
				if _, ok := e.(PeerUp); ok {
					up.Add(1)
				}
			},
			Logger: log.NewNopLogger(),
		})
		server := &http.Server{Handler: linkers[i].Handler(), ReadHeaderTimeout: time.Second}
		go func() { _ = server.Serve(listener) }()
		defer server.Close()
		defer linkers[i].Close()
		linkers[i].Start()
		seeds = []string{listener.Addr().String()}
	}
	links := vms * (vms - 1)
	for up.Load() < int64(links) {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(2 * tableInterval)
	b.ReportMetric(float64(heapBytes()-before)/float64(links), "bytes/item")
	cpu, sent := cpuTime(b), sentBytes(linkers)
	time.Sleep(idleMeasureTime)
	b.ReportMetric(float64((cpuTime(b)-cpu).Microseconds())/idleMeasureTime.Seconds()/float64(links), "cpu-us/s/item")
	b.ReportMetric(float64(sentBytes(linkers)-sent)/idleMeasureTime.Seconds()/float64(links), "bytes/s/item")
}

func sentBytes(linkers []*Linker) (total int64) {
	for _, l := range linkers {
		total += l.Counts().BytesSent
	}
	return total
}

func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
