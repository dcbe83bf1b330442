package limiter

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

const benchJobTasks = 100

// heapBytes is the heap memory in use after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func benchLimiter() *Limiter {
	l := New(Options{Rand: rand.New(rand.NewPCG(1, 1)), MaxTasks: 10_000_000, MaxQueues: 1_000_000})
	l.SetCapacity(epoch, 1_000_000)
	return l
}

func admitTasks(l *Limiter, team identifier.Team, first, tasks int) {
	for i := 0; i < tasks; i += benchJobTasks {
		l.Admit(epoch, Request{
			Submission: identifier.SubmissionID(fmt.Sprintf("perth-a.0190a7c4-0000-7000-8000-%012d", first+i)),
			Team:       team,
			Profile:    "orderDesk",
			Tasks:      makeTasks(benchJobTasks, 100*time.Millisecond),
		})
	}
}

// BenchmarkQueuedTask measures the memory of a queued task, in jobs of 100.
func BenchmarkQueuedTask(b *testing.B) {
	for _, size := range []int{10_000, 30_000, 100_000, 300_000} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				l := benchLimiter()
				admitTasks(l, "team", 0, size)
				b.ReportMetric(float64(heapBytes()-before)/float64(size), "bytes/item")
				runtime.KeepAlive(l)
			}
		})
	}
}

// BenchmarkRunningTask measures the memory of a dispatched task, in jobs of 100.
func BenchmarkRunningTask(b *testing.B) {
	for _, size := range []int{1_000, 3_000, 10_000, 30_000} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				l := benchLimiter()
				admitTasks(l, "team", 0, size)
				l.NextTasks(epoch, size)
				b.ReportMetric(float64(heapBytes()-before)/float64(size), "bytes/item")
				runtime.KeepAlive(l)
			}
		})
	}
}

// BenchmarkTeam measures the memory of a team with a quota and no tasks.
func BenchmarkTeam(b *testing.B) {
	for _, size := range []int{100, 440, 1_000, 4_400} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				l := benchLimiter()
				for i := range size {
					team := identifier.Team(fmt.Sprint("team", i))
					l.Admit(epoch, Request{Submission: identifier.SubmissionID(team), Team: team, Profile: "p", Quota: 40, Tasks: makeTasks(1, time.Second)})
					l.RemoveJob(epoch, identifier.SubmissionID(team))
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(size), "bytes/item")
				runtime.KeepAlive(l)
			}
		})
	}
}

// BenchmarkDecision measures the decisions on one task from its admission to its
// end, while the given number of teams have queued tasks.
func BenchmarkDecision(b *testing.B) {
	for _, teams := range []int{1, 10, 100, 440} {
		b.Run(fmt.Sprintf("size=%d", teams), func(b *testing.B) {
			l := benchLimiter()
			for i := range teams {
				admitTasks(l, identifier.Team(fmt.Sprint("team", i)), i*1_000_000, 10*benchJobTasks)
			}
			jobs, next := 0, 0
			b.ResetTimer()
			for n := 0; n < b.N; {
				if l.Queued() < teams*5*benchJobTasks+benchJobTasks {
					jobs++
					admitTasks(l, identifier.Team(fmt.Sprint("team", next%teams)), -jobs*benchJobTasks, benchJobTasks)
					next++
				}
				for _, ref := range l.NextTasks(epoch, 50) {
					l.EndTask(epoch, ref, 100*time.Millisecond)
					n++
				}
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "tasks/s")
		})
	}
}
