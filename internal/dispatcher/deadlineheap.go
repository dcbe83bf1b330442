package dispatcher

import (
	"container/heap"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// deadline is the time by which a job must have ended.
type deadline struct {
	at         time.Time
	submission identifier.SubmissionID
}

// deadlineHeap orders deadlines by time, then by submission.
type deadlineHeap []deadline

// Len implements heap.Interface.
func (h deadlineHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h deadlineHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].submission < h[j].submission
	}
	return h[i].at.Before(h[j].at)
}

// Swap implements heap.Interface.
func (h deadlineHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(deadline)) }

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// popDue removes and returns the earliest deadline if it has passed.
func (h *deadlineHeap) popDue(now time.Time) (d deadline, ok bool) {
	if len(*h) == 0 || (*h)[0].at.After(now) {
		return deadline{}, false
	}
	return heap.Pop(h).(deadline), true
}
