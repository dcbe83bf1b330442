// Package placer decides on which backend server each task starts.
//
// All entry VMs share the slots of the backend servers. Each backend server has
// one owner among the entry VMs, which uses its free slots or lends them to the
// others. A Placer holds one entry VM's view of the backend servers. It is
// deterministic: it reads no clock, and its randomness comes from Options.Rand.
// It is not safe for concurrent use.
package placer

import (
	"slices"
	"strings"
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

const (
	minFullBackoff        = 5 * time.Millisecond   // after a start refused as Full
	maxFullBackoff        = 80 * time.Millisecond  // the doubled backoff is at most this
	minUnreachableBackoff = 100 * time.Millisecond // after a start refused as Unreachable
	maxUnreachableBackoff = 5 * time.Second        // the doubled backoff is at most this
	lostBackoff           = time.Second            // after a lost answer
	leavingTTL            = time.Minute            // how long a report that a backend server is leaving is valid
)

// Placer chooses backend servers for tasks.
type Placer struct {
	opts           Options
	backends       map[identifier.BackendID]*backendState
	members        []DomainMember
	usable         backendSet
	ownedWithFree  backendSet
	idleGranted    backendSet
	ownerless      backendSet
	ownedFreeSlots identifier.Slots // free slots of the backend servers that this VM owns
	blocked        []*backendState  // accept no new work until blockedUntil or ownerReadyAt
	self           *peer
	peers          []*peer // the other entry VMs, sorted by name and incarnation
	byMember       map[identifier.Member]*peer
	demand         demand
	params         borrowParams
	usesReserve    bool             // a task was placed under Reserve
	acceptingSlots identifier.Slots // all slots of the backend servers that accept new work
	evacuated      []identifier.FailureDomain
	capacities     []TaskNeeds                                  // the largest tasks that the listed backend servers can hold, one for each distinct size
	leavingToSend  []identifier.BackendID                       // to announce to the peers of all failure domains
	leavingToRelay []identifier.BackendID                       // to announce in this failure domain only
	accelerators   map[identifier.TaskRef]declarer.Accelerators // of the placed tasks that use any
}

// New returns a Placer that knows no backend server.
func New(opts Options) *Placer {
	if opts.DefaultPolicy == nil {
		opts.DefaultPolicy = Reserve{}
	}
	return &Placer{
		opts:          opts,
		backends:      make(map[identifier.BackendID]*backendState),
		usable:        backendSet{kind: usableSet},
		ownedWithFree: backendSet{kind: ownedWithFreeSet},
		idleGranted:   backendSet{kind: idleGrantedSet},
		ownerless:     backendSet{kind: ownerlessSet},
		self:          newPeer(DomainMember{Member: opts.Self, Domain: opts.Domain}),
		byMember:      make(map[identifier.Member]*peer),
		params:        minMessagesParams,
		accelerators:  make(map[identifier.TaskRef]declarer.Accelerators),
	}
}

// SetBackends replaces the platform's list of backend servers.
func (p *Placer) SetBackends(now time.Time, backends []Backend) {
	for _, b := range p.backends {
		b.listed = false
	}
	p.capacities = nil
	for _, backend := range backends {
		p.addCapacity(backend)
		b, ok := p.backends[backend.ID]
		if !ok {
			b = newBackendState(backend)
			p.backends[backend.ID] = b
		}
		b.Backend = backend
		b.listed = true
		b.evacuated = slices.Contains(p.evacuated, backend.Domain)
	}
	p.assignOwners(now)
	for _, id := range p.sortedBackends() {
		p.dropIfUnlisted(p.backends[id])
	}
}

// SetEvacuated replaces the list of failure domains whose backend servers get no new
// tasks. What runs there ends.
func (p *Placer) SetEvacuated(now time.Time, domains []identifier.FailureDomain) {
	p.evacuated = slices.Clone(domains)
	for _, id := range p.sortedBackends() {
		b := p.backends[id]
		if evacuated := slices.Contains(p.evacuated, b.Domain); evacuated != b.evacuated {
			b.evacuated = evacuated
			p.reindex(now, b)
		}
	}
}

// FitsOutsideEvacuations reports whether at least one listed backend server outside the
// evacuated failure domains could hold the task when idle.
func (p *Placer) FitsOutsideEvacuations(w TaskNeeds) bool {
	if len(p.evacuated) == 0 {
		return p.Fits(w)
	}
	for _, b := range p.backends {
		if b.listed && !b.evacuated && b.fits(&w) {
			return true
		}
	}
	return false
}

// SetMembers replaces the list of the live entry VMs, which covers all failure
// domains.
func (p *Placer) SetMembers(now time.Time, members []DomainMember) {
	p.members = slices.Clone(members)
	p.setPeers(now, members)
	p.assignOwners(now)
}

// Fits reports whether at least one listed backend server could hold the task
// when idle.
func (p *Placer) Fits(w TaskNeeds) bool {
	return slices.ContainsFunc(p.capacities, func(capacity TaskNeeds) bool { return capacity.covers(&w) })
}

func (p *Placer) addCapacity(b Backend) {
	capacity := TaskNeeds{Millicores: b.Millicores, Memory: b.Memory, Accelerators: b.Accelerators}
	if !slices.Contains(p.capacities, capacity) {
		p.capacities = append(p.capacities, capacity)
	}
}

// AcceptingSlots returns the number of slots, free or not, of the backend servers
// that accept new work.
func (p *Placer) AcceptingSlots(_ time.Time) identifier.Slots { return p.acceptingSlots }

func (p *Placer) sortedBackends() []identifier.BackendID {
	ids := make([]identifier.BackendID, 0, len(p.backends))
	for id := range p.backends {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b identifier.BackendID) int { return strings.Compare(string(a), string(b)) })
	return ids
}

// reindex updates the sets and slot counts after a backend server's state changed.
func (p *Placer) reindex(now time.Time, b *backendState) {
	mine := b.owner == p.self
	usable := b.usable(now)
	free := identifier.Slots(0)
	if mine {
		free = b.ownedFreeSlots(now)
	}
	p.ownedFreeSlots += free - b.countedFree
	b.countedFree = free
	p.countAcceptingSlots(b, b.acceptsWork(now))
	p.usable.setMember(b, usable)
	p.ownedWithFree.setMember(b, free > 0)
	p.idleGranted.setMember(b, !mine && b.owner != nil && b.held > b.running)
	p.ownerless.setMember(b, usable && (b.owner == nil || b.owner.unreachable))
	if b.owner != nil && !mine {
		b.owner.lender.borrowed.setMember(b, b.slotsToReport() > 0)
	}
}

func (p *Placer) countAcceptingSlots(b *backendState, accepts bool) {
	slots := identifier.Slots(0)
	if accepts {
		slots = b.Slots
	}
	p.acceptingSlots += slots - b.countedAccepting
	b.countedAccepting = slots
}

// dropIfUnlisted drops a backend server that is no longer listed and runs no
// task of this VM.
func (p *Placer) dropIfUnlisted(b *backendState) {
	if b.listed || b.running > 0 {
		return
	}
	if b.owner == p.self {
		p.dropBackendLoans(b)
	} else if b.owner != nil {
		b.owner.lender.borrowed.remove(b)
	}
	b.held = 0
	p.idleGranted.remove(b)
	delete(p.backends, b.ID)
}
