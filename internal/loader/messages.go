package loader

import (
	"fmt"
	"io"
)

// Messages counts the messages that the daemons sent and received during a run,
// by kind. It covers the daemons that answer at the end of the run. A request
// and its answer count as one message each.
type Messages struct {
	// Needed counts the messages to and from backend servers that contributed to
	// an answer.
	Needed int64 `json:"needed"`
	// Wasted counts the messages to and from backend servers that contributed to
	// no answer.
	Wasted int64 `json:"wasted"`
	// Control counts the messages between entry VMs, claims included.
	Control int64 `json:"control"`
	// Kinds holds the count of each kind.
	Kinds map[string]int64 `json:"kinds"`
}

// messageClass says whether messages of a kind contribute to answers.
type messageClass int

const (
	needed messageClass = iota + 1
	wasted
	control
)

func (m *Messages) add(c messageClass, kind string, count int64) {
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

// WastedShare returns the share of wasted messages among all messages to and
// from backend servers, from 0 to 1.
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
