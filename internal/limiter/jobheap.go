package limiter

// jobHeap orders the jobs of a queue that have tasks to dispatch. It implements
// heap.Interface.
type jobHeap []*job

// Len returns the number of jobs.
func (h jobHeap) Len() int { return len(h) }

// Less reports whether the first job goes before the second.
func (h jobHeap) Less(i, k int) bool { return h[i].sortKey < h[k].sortKey }

// Swap exchanges two jobs.
func (h jobHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].position = i
	h[k].position = k
}

// Push appends a job.
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.position = len(*h)
	*h = append(*h, j)
}

// Pop removes the last job.
func (h *jobHeap) Pop() any {
	last := len(*h) - 1
	j := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	j.position = notQueued
	return j
}
