package backendserver

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Bounds of the audit.
const (
	maxAuditRecords = 1 << 20 // the oldest go first
	maxAuditedTasks = 1 << 23 // beyond, duplicates may go unseen, and the summary says so
)

// AuditRecord tells of one start that a backend server of the fleet has seen.
type AuditRecord struct {
	Sequence     uint64                  `json:"sequence"` // from 1, in the order of the starts
	Server       identifier.BackendID    `json:"server"`
	Submission   identifier.SubmissionID `json:"submission"`
	Index        identifier.TaskIndex    `json:"index"`
	Holder       identifier.VMID         `json:"holder"`
	Unrepeatable bool                    `json:"unrepeatable"`
	Duplicate    bool                    `json:"duplicate"` // the fleet has seen a start of this task before
	StartedAt    time.Time               `json:"startedAt"`
	EndedAt      time.Time               `json:"endedAt,omitzero"`
	Ending       Ending                  `json:"ending,omitempty"` // absent while the task runs
}

// AuditSummary counts what the fleet's audit has seen.
type AuditSummary struct {
	Starts         uint64            `json:"starts"`
	Running        uint64            `json:"running"`
	Duplicates     uint64            `json:"duplicates"` // violations: starts of a task that was started before
	Endings        map[Ending]uint64 `json:"endings"`
	Refusals       map[string]uint64 `json:"refusals"`
	RecordsKept    int               `json:"recordsKept"`
	TasksForgotten uint64            `json:"tasksForgotten"` // starts for which duplicates can't be seen
}

// auditor records the starts of a fleet's servers.
type auditor struct {
	mu      sync.Mutex
	records []AuditRecord // a ring once it is full; a record stands at (sequence-1) modulo its bound
	seen    map[uint64]struct{}
	summary AuditSummary
}

func newAuditor() *auditor {
	return &auditor{
		seen: make(map[uint64]struct{}),
		summary: AuditSummary{
			Endings:  make(map[Ending]uint64),
			Refusals: make(map[string]uint64),
		},
	}
}

// start records a start and returns its sequence number.
func (a *auditor) start(r AuditRecord) uint64 {
	key := xxhash.Sum64(appendRef(nil, identifier.TaskRef{Submission: r.Submission, Index: r.Index}))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.summary.Starts++
	a.summary.Running++
	r.Sequence = a.summary.Starts
	if _, ok := a.seen[key]; ok {
		r.Duplicate = true
		a.summary.Duplicates++
	} else if len(a.seen) < maxAuditedTasks {
		a.seen[key] = struct{}{}
	} else {
		a.summary.TasksForgotten++
	}
	if len(a.records) < maxAuditRecords {
		a.records = append(a.records, r)
	} else {
		a.records[(r.Sequence-1)%maxAuditRecords] = r
	}
	return r.Sequence
}

// end records the end of a start.
func (a *auditor) end(sequence uint64, at time.Time, ending Ending) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.summary.Running--
	a.summary.Endings[ending]++
	r := &a.records[(sequence-1)%maxAuditRecords]
	if r.Sequence == sequence {
		r.EndedAt = at
		r.Ending = ending
	}
}

func (a *auditor) refuse(reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.summary.Refusals[reason]++
}

// page returns up to limit records that follow the sequence number after.
func (a *auditor) page(after uint64, limit int) []AuditRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	first := max(after, a.summary.Starts-uint64(len(a.records)))
	last := min(first+uint64(limit), a.summary.Starts)
	var page []AuditRecord
	for s := first; s < last; s++ {
		page = append(page, a.records[s%maxAuditRecords])
	}
	return page
}

func (a *auditor) summarize() AuditSummary {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.summary
	s.RecordsKept = len(a.records)
	s.Endings = make(map[Ending]uint64, len(a.summary.Endings))
	for ending, n := range a.summary.Endings {
		s.Endings[ending] = n
	}
	s.Refusals = make(map[string]uint64, len(a.summary.Refusals))
	for reason, n := range a.summary.Refusals {
		s.Refusals[reason] = n
	}
	return s
}
