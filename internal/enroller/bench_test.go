package enroller

import (
	"fmt"
	"testing"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// BenchmarkRoster measures the size of a roster, with and without ten earlier
// epochs, and the heartbeat bytes that a member sends.
func BenchmarkRoster(b *testing.B) {
	for _, n := range []int{7, 30, 100} {
		b.Run(fmt.Sprint("members=", n), func(b *testing.B) {
			var members []identifier.Member
			for i := range n {
				members = append(members, member(fmt.Sprintf("entry-%03d", i), 1_790_000_000_000))
			}
			r := NewRoster(start, domain, entries(members...))
			first := size(b, r)
			for range 10 {
				r, _ = r.Next(start, r.Members, false)
			}
			heartbeat := peermessenger.Heartbeat{Member: members[0], Epoch: 100, CaughtUpEpoch: 100}
			data, err := peermessenger.Encode(heartbeat)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := EncodeRoster(r); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(first), "bytes")
			b.ReportMetric(float64(size(b, r)), "bytes10epochs")
			b.ReportMetric(float64(len(data)*(n-1)), "heartbeatBytesSent/s")
		})
	}
}

func size(b *testing.B, r *Roster) int {
	value, err := EncodeRoster(r)
	if err != nil {
		b.Fatal(err)
	}
	return len(value)
}
