package dispatcher

import (
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/placer"
)

// startQueued starts queued tasks, in the limiter's order, while slots are free.
func (m *Machine) startQueued(now time.Time) {
	tried := false
	for {
		refs := m.limiter.NextTasks(now, m.batchSize)
		if len(refs) == 0 {
			break
		}
		tried = true
		placed := m.placeAndStart(now, refs)
		if placed < len(refs) {
			m.batchSize = max(minBatchSize, placed)
			break
		}
		m.batchSize = min(2*m.batchSize, maxBatchSize)
	}
	if tried {
		m.stepPlacer(now, placer.RequestSlots{Waiting: m.limiter.Dispatchable()})
	}
}

// placeAndStart starts the tasks for which the placer finds a slot, puts the others
// back into the queue and returns how many it started.
func (m *Machine) placeAndStart(now time.Time, refs []identifier.TaskRef) int {
	tasks := make([]placer.TaskNeeds, 0, len(refs))
	for _, ref := range refs {
		tasks = append(tasks, m.jobs[ref.Submission].taskNeeds(ref.Index))
	}
	placements := m.placer.Place(now, tasks)
	placed := make(map[identifier.TaskRef]struct{}, len(placements))
	for _, p := range placements {
		placed[p.Ref] = struct{}{}
		m.startTask(now, p)
	}
	for _, ref := range slices.Backward(refs) {
		if _, ok := placed[ref]; !ok {
			m.limiter.RequeueUnplaced(ref)
		}
	}
	return len(placements)
}

// startTask sends one task to its backend server.
func (m *Machine) startTask(now time.Time, p placer.Placement) {
	j := m.jobs[p.Ref.Submission]
	j.states[p.Ref.Index] = taskRunning
	j.backends[p.Ref.Index] = p.Backend
	m.opts.Counters.TasksStarted.Add(1)
	m.emit(StartTask{
		Ref:          p.Ref,
		Backend:      p.Backend,
		Address:      p.Address,
		Task:         j.job.Tasks[p.Ref.Index],
		Lease:        j.deadline.Sub(now) + leaseMargin,
		Unrepeatable: j.unrepeatable,
	})
}

// stepPlacer passes an event to the placer and carries out its effects.
func (m *Machine) stepPlacer(now time.Time, e placer.Event) {
	freed := false
	for _, effect := range m.placer.Step(now, e) {
		switch effect := effect.(type) {
		case placer.Send:
			m.emit(Send{To: effect.To, Message: effect.Message})
		case placer.SlotsFreed:
			freed = true
		}
	}
	if freed {
		m.startQueued(now)
	}
}
