package backendserver

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Bounds of the audit.
const (
	maxAuditRecords = 1 << 20 // beyond it, the oldest records are dropped
	maxAuditedTasks = 1 << 23 // beyond it, duplicates of further tasks are not detected; the summary counts these starts
)

// AuditRecord describes one start of a task on a backend server of the fleet.
type AuditRecord struct {
	Sequence     uint64                  `json:"sequence"` // from 1, in the order of the starts
	Server       identifier.BackendID    `json:"server"`
	Submission   identifier.SubmissionID `json:"submission"`
	Index        identifier.TaskIndex    `json:"index"`
	Holder       identifier.VMID         `json:"holder"`
	Unrepeatable bool                    `json:"unrepeatable"`
	Duplicate    bool                    `json:"duplicate"` // the fleet started this task before
	StartedAt    time.Time               `json:"startedAt"`
	EndedAt      time.Time               `json:"endedAt,omitzero"`
	Ending       Ending                  `json:"ending,omitempty"` // absent while the task runs
}

// AuditSummary holds the counts of the fleet's audit.
type AuditSummary struct {
	Starts         uint64            `json:"starts"`
	Running        uint64            `json:"running"`
	Duplicates     uint64            `json:"duplicates"` // violations: starts of tasks that were started before
	Endings        map[Ending]uint64 `json:"endings"`
	Refusals       map[string]uint64 `json:"refusals"`
	RecordsKept    int               `json:"recordsKept"`
	TasksForgotten uint64            `json:"tasksForgotten"` // starts whose later duplicates are not detected
}

// auditor records the starts of a fleet's servers.
type auditor struct {
	mu           sync.Mutex
	records      []AuditRecord // a ring buffer; a record is at (sequence-1) modulo maxAuditRecords
	startedTasks map[uint64]struct{}
	summary      AuditSummary
}

func newAuditor() *auditor {
	return &auditor{
		startedTasks: make(map[uint64]struct{}),
		summary: AuditSummary{
			Endings:  make(map[Ending]uint64),
			Refusals: make(map[string]uint64),
		},
	}
}

// recordStart records a start and returns its sequence number.
func (a *auditor) recordStart(r AuditRecord) uint64 {
	key := xxhash.Sum64(appendRef(nil, identifier.TaskRef{Submission: r.Submission, Index: r.Index}))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.summary.Starts++
	a.summary.Running++
	r.Sequence = a.summary.Starts
	if _, ok := a.startedTasks[key]; ok {
		r.Duplicate = true
		a.summary.Duplicates++
	} else if len(a.startedTasks) < maxAuditedTasks {
		a.startedTasks[key] = struct{}{}
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

// recordEnd records the end of a start.
func (a *auditor) recordEnd(sequence uint64, at time.Time, ending Ending) {
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

func (a *auditor) recordRefusal(reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.summary.Refusals[reason]++
}

// page returns up to limit kept records that follow the sequence number after.
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
