package loader

import (
	"fmt"
	"io"
)

// Messages counts what the daemons that answer at the end of a run have sent and
// got, by kind. A request and its answer count as one message each.
type Messages struct {
	// Needed messages to and from backend servers contributed to an answer.
	Needed int64 `json:"needed"`
	// Wasted messages to and from backend servers contributed to none.
	Wasted int64 `json:"wasted"`
	// Control messages went between entry VMs, claims included.
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

// WastedShare returns the wasted messages as a share of those to and from
// backend servers.
func (m Messages) WastedShare() float64 {
	all := m.Needed + m.Wasted
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
	fmt.Fprintf(w, "messages a task\tneeded %.3f  wasted %.4f  control %.3f  (wasted %.3f%%)\n",
		perTask(m.Needed), perTask(m.Wasted), perTask(m.Control), m.WastedShare()*100)
	writeCounts(w, "  ", m.Kinds)
}
