package limiter

// teamHeap orders the teams that may dispatch a task, the least virtual time
// first. It implements heap.Interface.
type teamHeap []*team

// Len returns the number of teams.
func (h teamHeap) Len() int { return len(h) }

// Less reports whether the first team goes before the second.
func (h teamHeap) Less(i, k int) bool { return h[i].virtualTime < h[k].virtualTime }

// Swap exchanges two teams.
func (h teamHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].position = i
	h[k].position = k
}

// Push appends a team.
func (h *teamHeap) Push(x any) {
	t := x.(*team)
	t.position = len(*h)
	*h = append(*h, t)
}

// Pop removes the last team.
func (h *teamHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.position = notQueued
	return t
}
