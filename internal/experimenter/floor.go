package experimenter

import (
	"container/heap"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/loader"
)

// Floor holds the response times, as ratios to the ideal, that one central
// first-come, first-served queue over all slots would reach on the same workload,
// without messages, faults and limits of teams. It shows the queueing that the
// offered load alone causes.
type Floor struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
}

const (
	floorRatioUnit         = 1000 // ratios are kept in thousandths
	maxFloorRatio          = 100_000 * floorRatioUnit
	floorSignificantDigits = 3
)

// floor returns the Floor of a workload.
func floor(w loader.Workload, slots identifier.Slots) (f Floor, err error) {
	planner, err := loader.NewPlanner(w, slots)
	if err != nil {
		return Floor{}, err
	}
	histogram := hdrhistogram.New(1, maxFloorRatio, floorSignificantDigits)
	queue := make(slotHeap, slots)
	for {
		job, ok := planner.Next()
		if !ok {
			break
		}
		response := queue.run(job)
		ratio := float64(response) / float64(job.Longest()) * floorRatioUnit
		_ = histogram.RecordValue(min(int64(ratio), maxFloorRatio))
	}
	ratio := func(percent float64) float64 { return float64(histogram.ValueAtQuantile(percent)) / floorRatioUnit }
	return Floor{P50: ratio(50), P99: ratio(99), P999: ratio(99.9)}, nil
}

// slotHeap is a heap of the times at which the slots become free, the earliest
// first.
type slotHeap []time.Duration

func (h slotHeap) Len() int           { return len(h) }
func (h slotHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h slotHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *slotHeap) Push(x any) { *h = append(*h, x.(time.Duration)) }

// Pop implements heap.Interface.
func (h *slotHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// run places each task of a job on the slot that is free first, and returns the
// time from the job's arrival to the end of its last task.
func (h *slotHeap) run(job loader.PlannedJob) (response time.Duration) {
	for _, runTime := range job.RunTimes {
		end := max((*h)[0], job.At) + runTime
		(*h)[0] = end
		heap.Fix(h, 0)
		response = max(response, end-job.At)
	}
	return response
}
