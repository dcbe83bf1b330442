package placer

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPolicies compares the policies on the same jobs, drawn from one seed.
func BenchmarkPolicies(b *testing.B) {
	for _, load := range []float64{0.3, 0.7, 0.9} {
		for _, policy := range []Policy{Random{}, TwoChoices{}, Reserve{}} {
			for _, goal := range []Goal{MinimizeLatency, MinimizeMessages} {
				if _, ok := policy.(Reserve); !ok && goal == MinimizeMessages {
					continue
				}
				b.Run(fmt.Sprintf("load=%v/policy=%T/weighing=%s", load, policy, goal), func(b *testing.B) {
					for range b.N {
						f := newFleet(1, 7, 50)
						f.run(time.Second)
						f.offerLoad(time.Minute, load, 100, policy, goal)
						f.run(70 * time.Second)
						b.ReportMetric(f.quantile(0.5), "p50")
						b.ReportMetric(f.quantile(0.99), "p99")
						b.ReportMetric(float64(f.refused)/float64(f.starts), "refused/start")
						b.ReportMetric(float64(f.messages)/float64(f.starts), "messages/start")
						b.ReportMetric(float64(len(f.slowdowns)), "jobs")
					}
				})
			}
		}
	}
}
