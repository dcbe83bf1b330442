// Package placer decides on which backend server each task starts.
//
// A Placer holds one entry VM's view of the backend servers, whose slots all
// entry VMs share. It is deterministic: it reads no clock, and its randomness
// comes from the generator handed in. It is not safe for concurrent use.
package placer

import (
	"slices"
	"strings"
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

const (
	minFullBackoff        = 5 * time.Millisecond   // after a refusal for want of a slot
	maxFullBackoff        = 80 * time.Millisecond  // bound of its doubling
	minUnreachableBackoff = 100 * time.Millisecond // after a connection that was not made
	maxUnreachableBackoff = 5 * time.Second        // bound of its doubling
	lostBackoff           = time.Second            // after a lost answer
	leavingHold           = time.Minute            // how long a backend server's or a peer's word on leaving holds
)

// Placer places tasks on backend servers.
type Placer struct {
	opts         Options
	backends     map[identifier.BackendID]*backendState
	members      []DomainMember
	usable       backendSet
	blocked      []*backendState
	accelerators map[identifier.TaskRef]declarer.Accelerators // of placed tasks that use any
}

// New returns a Placer that knows no backend server.
func New(opts Options) *Placer {
	if opts.Default == nil {
		opts.Default = TwoChoices{}
	}
	return &Placer{
		opts:         opts,
		backends:     make(map[identifier.BackendID]*backendState),
		usable:       backendSet{kind: usableSet},
		accelerators: make(map[identifier.TaskRef]declarer.Accelerators),
	}
}

// SetBackends replaces the platform's list of backend servers.
func (p *Placer) SetBackends(now time.Time, backends []Backend) {
	for _, b := range p.backends {
		b.listed = false
	}
	for _, listed := range backends {
		b, ok := p.backends[listed.ID]
		if !ok {
			b = newBackendState(listed)
			p.backends[listed.ID] = b
		}
		b.Backend = listed
		b.listed = true
		b.connections = p.connectionShare(b)
	}
	for _, id := range p.sortedBackends() {
		b := p.backends[id]
		p.refresh(now, b)
		p.forget(b)
	}
}

// SetMembers replaces the list of the live entry VMs of all failure domains.
func (p *Placer) SetMembers(now time.Time, members []DomainMember) {
	p.members = slices.Clone(members)
	for _, id := range p.sortedBackends() {
		b := p.backends[id]
		b.connections = p.connectionShare(b)
		p.refresh(now, b)
	}
}

// Fits reports whether some known backend server, when idle, could hold the task.
func (p *Placer) Fits(w Want) bool {
	for _, b := range p.backends {
		if b.listed && b.holds(&w) {
			return true
		}
	}
	return false
}

// Slots returns the number of slots of the backend servers that take new work.
func (p *Placer) Slots(now time.Time) identifier.Slots {
	var total identifier.Slots
	for _, b := range p.backends {
		if b.open(now) {
			total += b.Slots
		}
	}
	return total
}

func (p *Placer) sortedBackends() []identifier.BackendID {
	ids := make([]identifier.BackendID, 0, len(p.backends))
	for id := range p.backends {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b identifier.BackendID) int { return strings.Compare(string(a), string(b)) })
	return ids
}

// refresh brings the sets up to date with a backend server's state.
func (p *Placer) refresh(now time.Time, b *backendState) {
	p.usable.set(b, b.usable(now))
}

// forget drops a backend server that is no longer listed and runs nothing.
func (p *Placer) forget(b *backendState) {
	if !b.listed && b.running == 0 {
		delete(p.backends, b.ID)
	}
}
