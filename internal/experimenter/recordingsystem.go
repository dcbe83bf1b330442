package experimenter

import (
	"context"
	"sync"
	"time"
)

// JournalEntry records the injection of a fault. Error is empty if it succeeded.
type JournalEntry struct {
	At    time.Duration `json:"atNanos"` // since the start of the workload
	Took  time.Duration `json:"tookNanos"`
	Fault string        `json:"fault"`
	Error string        `json:"error,omitempty"`
}

// recordingSystem wraps a System and keeps a journal of the faults injected.
type recordingSystem struct {
	System
	start time.Time

	mu      sync.Mutex
	journal []JournalEntry
}

func newRecordingSystem(inner System) *recordingSystem {
	return &recordingSystem{System: inner, start: time.Now()}
}

// Inject implements System.
func (r *recordingSystem) Inject(ctx context.Context, fault Fault) error {
	begin := time.Now()
	err := r.System.Inject(ctx, fault)
	entry := JournalEntry{At: begin.Sub(r.start), Took: time.Since(begin), Fault: fault.String()}
	if err != nil {
		entry.Error = err.Error()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.journal = append(r.journal, entry)
	return err
}

func (r *recordingSystem) entries() []JournalEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.journal
}
