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
	owned        backendSet
	held         backendSet
	unowned      backendSet
	ownedFree    identifier.Slots // free slots of the owned backend servers
	blocked      []*backendState  // closed for a time
	self         *peer
	peers        []*peer // the other VMs, in the order of their names
	byMember     map[identifier.Member]*peer
	demand       demand
	pace         pace
	reserving    bool                                         // has placed by Reserve
	openSlots    identifier.Slots                             // of the backend servers that take new work
	shapes       []Want                                       // the distinct sizes of the listed backend servers
	leavingNews  []identifier.BackendID                       // for all peers
	leavingRelay []identifier.BackendID                       // for the peers of this failure domain
	accelerators map[identifier.TaskRef]declarer.Accelerators // of placed tasks that use any
}

// New returns a Placer that knows no backend server.
func New(opts Options) *Placer {
	if opts.Default == nil {
		opts.Default = Reserve{}
	}
	return &Placer{
		opts:         opts,
		backends:     make(map[identifier.BackendID]*backendState),
		usable:       backendSet{kind: usableSet},
		owned:        backendSet{kind: ownedSet},
		held:         backendSet{kind: heldSet},
		unowned:      backendSet{kind: unownedSet},
		self:         newPeer(DomainMember{Member: opts.Self, Domain: opts.Domain}),
		byMember:     make(map[identifier.Member]*peer),
		pace:         messagesPace,
		accelerators: make(map[identifier.TaskRef]declarer.Accelerators),
	}
}

// SetBackends replaces the platform's list of backend servers.
func (p *Placer) SetBackends(now time.Time, backends []Backend) {
	for _, b := range p.backends {
		b.listed = false
	}
	p.shapes = nil
	for _, listed := range backends {
		p.addShape(listed)
		b, ok := p.backends[listed.ID]
		if !ok {
			b = newBackendState(listed)
			p.backends[listed.ID] = b
		}
		b.Backend = listed
		b.listed = true
	}
	p.assignOwners(now)
	for _, id := range p.sortedBackends() {
		p.forget(p.backends[id])
	}
}

// SetMembers replaces the list of the live entry VMs of all failure domains.
func (p *Placer) SetMembers(now time.Time, members []DomainMember) {
	p.members = slices.Clone(members)
	p.setPeers(now, members)
	p.assignOwners(now)
}

// Fits reports whether some known backend server, when idle, could hold the task.
func (p *Placer) Fits(w Want) bool {
	return slices.ContainsFunc(p.shapes, func(shape Want) bool { return shape.covers(&w) })
}

func (p *Placer) addShape(b Backend) {
	shape := Want{Millicores: b.Millicores, Memory: b.Memory, Accelerators: b.Accelerators}
	if !slices.Contains(p.shapes, shape) {
		p.shapes = append(p.shapes, shape)
	}
}

// Slots returns the number of slots of the backend servers that take new work.
func (p *Placer) Slots(_ time.Time) identifier.Slots { return p.openSlots }

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
	mine := b.owner == p.self
	usable := b.usable(now)
	free := identifier.Slots(0)
	if mine {
		free = b.lendable(now)
	}
	p.ownedFree += free - b.counted
	b.counted = free
	p.countOpen(b, b.open(now))
	p.usable.set(b, usable)
	p.owned.set(b, free > 0)
	p.held.set(b, !mine && b.owner != nil && b.held > b.running)
	p.unowned.set(b, usable && (b.owner == nil || b.owner.lost))
	if b.owner != nil && !mine {
		b.owner.lender.holdings.set(b, b.inUse() > 0)
	}
}

func (p *Placer) countOpen(b *backendState, open bool) {
	slots := identifier.Slots(0)
	if open {
		slots = b.Slots
	}
	p.openSlots += slots - b.countedOpen
	b.countedOpen = slots
}

// forget drops a backend server that is no longer listed and runs nothing.
func (p *Placer) forget(b *backendState) {
	if b.listed || b.running > 0 {
		return
	}
	if b.owner == p.self {
		p.forgetLoans(b)
	} else if b.owner != nil {
		b.owner.lender.holdings.remove(b)
	}
	b.held = 0
	p.held.remove(b)
	delete(p.backends, b.ID)
}
