package dispatcher

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/enroller"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/placer"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

const tasksPerJob = 100

// newBenchMachine returns the machine of the only entry VM of a failure domain with
// the given number of backend servers of 8 slots each.
func newBenchMachine(backends int) (m *Machine, now time.Time) {
	now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	self := identifier.Member{VM: "vm", Incarnation: 1}
	m = New(Options{
		Self:           self,
		Domain:         "a",
		Domains:        []identifier.FailureDomain{"a"},
		Rand:           rand.New(rand.NewPCG(1, 1)),
		MaxQueuedTasks: 10_000_000,
		MaxRecords:     10_000_000,
		Retention:      10 * time.Minute,
		ClockBound:     time.Second,
		Counters:       &Counters{},
	})
	p := profileparser.Default()
	p.Name, p.DefaultQuota, p.QueueBound, p.Deadline = "p", 1_000_000, 1_000_000, time.Hour
	m.Step(now, ProfilesAdopted{Profiles: map[identifier.ProfileName]profileparser.Profile{"p": p}})
	m.Step(now, BackendsListed{Backends: benchBackends(backends)})
	m.Step(now, RosterAdopted{Roster: enroller.NewRoster(now, "a", []enroller.RosterMember{{Member: self, Address: "x"}})})
	return m, now
}

func benchBackends(n int) []placer.Backend {
	list := make([]placer.Backend, n)
	for i := range list {
		list[i] = placer.Backend{
			ID:          identifier.BackendID(fmt.Sprint("backend", i)),
			Domain:      "a",
			Address:     "x",
			Slots:       8,
			Connections: 64,
			Millicores:  32_000,
			Memory:      64_000,
		}
	}
	return list
}

func benchJob(now time.Time, r *rand.Rand) declarer.Job {
	tasks := make([]declarer.Task, tasksPerJob)
	for i := range tasks {
		tasks[i] = declarer.Task{Payload: []byte(`{"lot":17}`), RunTime: 100 * time.Millisecond}
	}
	return declarer.Job{Submission: identifier.SubmissionID("a." + uuidAt(now, r)), Team: "t", Profile: "p", Tasks: tasks}
}

// BenchmarkTask measures the time of all decisions on one task, from the
// submission of its job to its answer, in jobs of 100 tasks.
func BenchmarkTask(b *testing.B) {
	for _, size := range []int{50, 500, 1_700, 5_000} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) {
			m, now := newBenchMachine(size)
			r := rand.New(rand.NewPCG(2, 2))
			request := RequestID(0)
			for n := 0; n < b.N; n += tasksPerJob {
				now = now.Add(time.Millisecond)
				request++
				runJob(m, now, SubmitRequested{Request: request, Job: benchJob(now, r), Wait: true})
				m.Step(now, Tick{})
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "tasks/s")
		})
	}
}

// runJob submits a job and ends every task that it starts.
func runJob(m *Machine, now time.Time, e SubmitRequested) {
	var started []StartTask
	for _, effect := range m.Step(now, e) {
		if s, ok := effect.(StartTask); ok {
			started = append(started, s)
		}
	}
	for len(started) > 0 {
		s := started[0]
		started = started[1:]
		outcome := TaskSucceeded{Output: []byte("{}"), RunTime: 100 * time.Millisecond}
		for _, effect := range m.Step(now, StartTaskFinished{Ref: s.Ref, Backend: s.Backend, Outcome: outcome}) {
			if s, ok := effect.(StartTask); ok {
				started = append(started, s)
			}
		}
	}
}

// BenchmarkQueued measures the memory that a queued task and its share of the job
// take in the whole machine, payload included.
func BenchmarkQueued(b *testing.B) {
	for _, size := range []int{1_000, 3_000, 10_000, 30_000} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) {
			for range b.N {
				m, now := newBenchMachine(1)
				r := rand.New(rand.NewPCG(2, 2))
				before := heapBytes()
				for n := 0; n < size; n += tasksPerJob {
					m.Step(now, SubmitRequested{Request: RequestID(n), Job: benchJob(now, r), Wait: true})
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(size), "bytes/item")
				runtime.KeepAlive(m)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
