package loader

import (
	"flag"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func drawWorkload(t *rapid.T) Workload {
	w := DefaultWorkload()
	w.Seed = rapid.Uint64().Draw(t, "seed")
	w.Load = rapid.Float64Range(0.05, 3).Draw(t, "load")
	w.Duration = 2 * time.Second
	w.RunTimes.Kind = rapid.SampledFrom([]Kind{KindUniform, KindPareto, KindLognormal}).Draw(t, "kind")
	w.RunTimes.Shape = rapid.Float64Range(0.5, 3).Draw(t, "shape")
	w.RunTimes.Median = 200 * time.Millisecond
	w.RunTimes.LongShare = rapid.Float64Range(0, 0.1).Draw(t, "longShare")
	w.RunTimes.Long = 4 * time.Second
	w.Declared = Declared{WrongShare: 0.5, Factor: 10}
	w.Teams = []Team{{Name: "a", Weight: 1}, {Name: "b", Weight: 3}}
	w.Resubmissions = Resubmissions{Share: 0.5, Copies: 2, Delay: time.Second}
	w.Bursts = []Burst{{At: time.Second, For: 500 * time.Millisecond, Factor: 5}}
	w.CancelWaves = []CancelWave{{At: time.Second, Share: 0.5}}
	return w
}

func planJobs(t rapid.TB, w Workload, slots identifier.Slots) []PlannedJob {
	p, err := NewPlanner(w, slots)
	if err != nil {
		t.Fatal(err)
	}
	var jobs []PlannedJob
	for {
		job, ok := p.Next()
		if !ok {
			return jobs
		}
		jobs = append(jobs, job)
	}
}

func TestPlannedJobsKeepTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorkload(t)
		jobs := planJobs(t, w, 40)
		if diff := cmp.Diff(jobs, planJobs(t, w, 40)); diff != "" {
			t.Fatal("two plans of one seed differ")
		}
		previous := time.Duration(0)
		for i, job := range jobs {
			if job.At < previous || job.At >= w.Duration || job.Number != i {
				t.Fatalf("job %d: number %d at %v after %v", i, job.Number, job.At, previous)
			}
			previous = job.At
			if len(job.RunTimes) < w.TasksMin || len(job.RunTimes) > w.TasksMax {
				t.Fatalf("job %d: %d tasks", i, len(job.RunTimes))
			}
			for _, runTime := range job.RunTimes {
				if runTime < w.RunTimes.Min || runTime > w.RunTimes.Long {
					t.Fatalf("job %d: run time %v", i, runTime)
				}
			}
		}
	})
}

func TestPlanOffersTheLoad(t *testing.T) {
	for _, load := range []float64{0.3, 0.7, 0.9} {
		w := DefaultWorkload()
		w.Load = load
		w.Duration = 10 * time.Minute
		work := time.Duration(0)
		for _, job := range planJobs(t, w, 400) {
			work += job.Work()
		}
		offered := work.Seconds() / (400 * w.Duration.Seconds())
		if offered < load*0.95 || offered > load*1.05 {
			t.Errorf("load %.2f: offered %.3f of the slots", load, offered)
		}
	}
}

func TestBurstMultipliesArrivals(t *testing.T) {
	w := DefaultWorkload()
	w.Duration = 200 * time.Second
	w.Bursts = []Burst{{At: 100 * time.Second, For: 100 * time.Second, Factor: 5}}
	before, during := 0, 0
	for _, job := range planJobs(t, w, 400) {
		if job.At < 100*time.Second {
			before++
		} else {
			during++
		}
	}
	if ratio := float64(during) / float64(before); ratio < 4.5 || ratio > 5.5 {
		t.Errorf("the burst multiplied the arrivals by %.2f, not by 5", ratio)
	}
}

func TestValidateNamesTheField(t *testing.T) {
	tests := []struct {
		field      string
		invalidate func(w *Workload)
	}{
		{"duration", func(w *Workload) { w.Duration = 0 }},
		{"load", func(w *Workload) { w.Load = -1 }},
		{"tasksMax", func(w *Workload) { w.TasksMax = 5000 }},
		{"declared.factor", func(w *Workload) { w.Declared.Factor = 0 }},
		{"teams", func(w *Workload) { w.Teams = nil }},
		{"teams[0]", func(w *Workload) { w.Teams[0].Weight = 0 }},
		{"teams[0]", func(w *Workload) { w.Teams[0].Weight = math.NaN() }},
		{"bursts[0]", func(w *Workload) { w.Bursts = []Burst{{For: 1, Factor: math.Inf(1)}} }},
		{"load", func(w *Workload) { w.Load = math.NaN() }},
		{"runTimes: kind", func(w *Workload) { w.RunTimes.Kind = "even" }},
		{"runTimes: shape", func(w *Workload) { w.RunTimes.Kind = KindPareto }},
		{"bursts[0]", func(w *Workload) { w.Bursts = []Burst{{}} }},
		{"cancelWaves[0]", func(w *Workload) { w.CancelWaves = []CancelWave{{Share: 2}} }},
	}
	for _, test := range tests {
		w := DefaultWorkload()
		test.invalidate(&w)
		err := w.Validate()
		if err == nil || !strings.HasPrefix(err.Error(), test.field) {
			t.Errorf("%s: error %v", test.field, err)
		}
	}
}
