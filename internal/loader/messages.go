package loader

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// Messages counts what was sent on behalf of the workload, by kind. A request
// and its answer count as one exchange.
type Messages struct {
	// Needed exchanges contributed to an answer.
	Needed int64 `json:"needed"`
	// Wasted exchanges contributed to none.
	Wasted int64 `json:"wasted"`
	// Control messages keep the entry VMs in step, whatever the jobs.
	Control int64 `json:"control"`
	// Kinds holds the count of each kind.
	Kinds map[string]int64 `json:"kinds"`
}

// class tells whether a kind of message contributes to answers.
type class int

const (
	needed class = iota + 1
	wasted
	control
)

func (m *Messages) add(c class, kind string, count int64) {
	if count == 0 {
		return
	}
	if m.Kinds == nil {
		m.Kinds = make(map[string]int64)
	}
	m.Kinds[kind] += count
	switch c {
	case needed:
		m.Needed += count
	case wasted:
		m.Wasted += count
	case control:
		m.Control += count
	}
}

// WastedShare returns the wasted messages as a share of all.
func (m Messages) WastedShare() float64 {
	all := m.Needed + m.Wasted + m.Control
	if all == 0 {
		return 0
	}
	return float64(m.Wasted) / float64(all)
}

func (m Messages) writeText(w io.Writer, tasks int) {
	perTask := func(n int64) float64 {
		if tasks == 0 {
			return 0
		}
		return float64(n) / float64(tasks)
	}
	fmt.Fprintf(w, "messages a task\tneeded %.3f  wasted %.4f  control %.3f  (wasted %.3f%% of all)\n",
		perTask(m.Needed), perTask(m.Wasted), perTask(m.Control), m.WastedShare()*100)
	for _, kind := range slices.Sorted(maps.Keys(m.Kinds)) {
		fmt.Fprintf(w, "  %s\t%d\n", kind, m.Kinds[kind])
	}
}
