package profilekeeper_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
	"github.com/peppertrack/peppertrack/internal/platformcaller"
	"github.com/peppertrack/peppertrack/internal/profilekeeper"
	"github.com/peppertrack/peppertrack/internal/profilewriter"
)

// defect is a deliberate bug in the simulation that a property must detect.
type defect string

const (
	noDefect          defect = ""
	adoptsStale       defect = "a VM adopts an older book from the store"
	unconditionalSwap defect = "the store writes without comparing the revision"
	falseNotRun       defect = "a write whose answer is lost is reported as not made"
	neverPulls        defect = "pulls are never sent"
	neverSendsDigests defect = "digests are never sent"
)

// simulation connects keepers and writers through a faulty network and a faulty
// store, with simulated time.
type simulation struct {
	rand            *rand.Rand
	defect          defect
	now             time.Time
	vms             []*vm
	store           store
	inFlight        []inFlightMessage
	partitions      map[[2]identifier.FailureDomain]bool
	lossRate        float64 // fraction of messages that are lost
	duplicationRate float64 // fraction of messages that are duplicated
	maxDelay        time.Duration

	acceptedChains []profilekeeper.Chain // chain of each accepted version, starting at 0
	newestBook     profilekeeper.Book    // the newest accepted book
	accepted       map[identifier.ChangeID]identifier.ProfileVersion
	refused        map[identifier.ChangeID]bool
	requestCount   int
	faultCounts    map[string]int // faults that occurred, by kind
	messagesSent   int
	bytesSent      int
	violation      error
	onEffect       func(v *vm, e profilekeeper.Effect) // may be nil
}

type vm struct {
	peer        profilekeeper.Peer
	keeper      *profilekeeper.Keeper
	writer      *profilewriter.Writer
	stopped     bool
	paused      bool
	version     identifier.ProfileVersion
	links       []profilekeeper.Peer
	pendingCall profilekeeper.Effect // the store call in progress, or nil
}

type inFlightMessage struct {
	arrivesAt time.Time
	from, to  identifier.Member
	data      []byte
}

// store simulates one key of the key-value service, with its faults.
type store struct {
	simulation     *simulation
	values         []platformcaller.Value // by revision
	books          []profilekeeper.Book   // by revision
	down           bool
	staleReads     bool                              // reads may return an older value
	loseNextAnswer bool                              // the answer to the next write is lost
	cutDomains     map[identifier.FailureDomain]bool // failure domains that cannot reach the store
	beforeNextSwap func()                            // called once, before the next Swap
}

func newSimulation(seed uint64, d defect) *simulation {
	sim := &simulation{
		rand: rand.New(rand.NewPCG(seed, seed)), defect: d, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		partitions: make(map[[2]identifier.FailureDomain]bool), maxDelay: 20 * time.Millisecond,
		acceptedChains: []profilekeeper.Chain{0}, accepted: make(map[identifier.ChangeID]identifier.ProfileVersion),
		refused: make(map[identifier.ChangeID]bool), faultCounts: make(map[string]int),
	}
	sim.store = store{simulation: sim, values: []platformcaller.Value{{}}, books: []profilekeeper.Book{{}}, cutDomains: make(map[identifier.FailureDomain]bool)}
	return sim
}

func (sim *simulation) reportViolation(format string, args ...any) {
	if sim.violation == nil {
		sim.violation = errors.Newf(format, args...)
	}
}

// boot starts a process on a VM and replaces the one that ran there, if any.
func (sim *simulation) boot(name identifier.VMID, domain identifier.FailureDomain) *vm {
	incarnation := identifier.Incarnation(1)
	for _, v := range sim.vms {
		if v.peer.Member.VM == name {
			v.stopped = true
			incarnation = max(incarnation, v.peer.Member.Incarnation+1)
		}
	}
	self := identifier.Member{VM: name, Incarnation: incarnation}
	v := &vm{peer: profilekeeper.Peer{Member: self, Domain: domain}}
	seed := sim.rand.Uint64()
	v.keeper = profilekeeper.New(sim.now, profilekeeper.Options{Self: self, Domain: domain, Seed: seed})
	v.writer = profilewriter.New(profilewriter.Options{
		Store:       vmStore{&sim.store, v},
		CurrentBook: v.keeper.Book,
		BookSeen: func(b profilekeeper.Book) {
			sim.step(v, profilekeeper.BookWritten{Book: b})
		},
		Seed: seed,
	})
	sim.vms = slices.DeleteFunc(sim.vms, func(v *vm) bool { return v.stopped })
	sim.vms = append(sim.vms, v)
	sim.updateLinks()
	return v
}

// updateLinks reports to each VM the peers that it can reach.
func (sim *simulation) updateLinks() {
	for _, v := range sim.vms {
		var links []profilekeeper.Peer
		for _, other := range sim.vms {
			if other != v && sim.canReach(v, other) {
				links = append(links, other.peer)
			}
		}
		if !v.stopped && !v.paused && !slices.Equal(links, v.links) {
			v.links = links
			sim.step(v, profilekeeper.PeersChanged{Peers: links})
		}
	}
}

func (sim *simulation) canReach(a, b *vm) bool {
	return !a.stopped && !b.stopped && !sim.partitions[domainPair(a.peer.Domain, b.peer.Domain)]
}

func domainPair(a, b identifier.FailureDomain) [2]identifier.FailureDomain {
	return [2]identifier.FailureDomain{min(a, b), max(a, b)}
}

// step passes one event to a VM's keeper, performs the effects and checks the book
// in force.
func (sim *simulation) step(v *vm, e profilekeeper.Event) {
	if v.stopped {
		return
	}
	for _, effect := range v.keeper.Step(sim.now, e) {
		sim.performEffect(v, effect)
	}
	sim.checkVersion(v, v.keeper.Book())
}

func (sim *simulation) checkVersion(v *vm, b profilekeeper.Book) {
	if b.Version < v.version {
		sim.reportViolation("%v returned from version %d to %d", v.peer.Member, v.version, b.Version)
	}
	v.version = b.Version
	if int(b.Version) >= len(sim.acceptedChains) || sim.acceptedChains[b.Version] != b.Chain {
		sim.reportViolation("%v has version %d, which was never accepted", v.peer.Member, b.Version)
	}
}

func (sim *simulation) performEffect(v *vm, effect profilekeeper.Effect) {
	if sim.onEffect != nil {
		sim.onEffect(v, effect)
	}
	switch e := effect.(type) {
	case profilekeeper.Send:
		sim.transmit(v.peer.Member, e)
	case profilekeeper.ReadBook, profilekeeper.WatchBook:
		v.pendingCall = e
	case profilekeeper.CancelStoreCall:
		v.pendingCall = nil
	}
}

func (sim *simulation) transmit(from identifier.Member, e profilekeeper.Send) {
	switch e.Message.(type) {
	case peermessenger.ProfilePull:
		if sim.defect == neverPulls {
			return
		}
	case peermessenger.ProfileDigest:
		if sim.defect == neverSendsDigests {
			return
		}
	}
	data, err := peermessenger.Encode(e.Message)
	if err != nil {
		sim.reportViolation("%v", err)
		return
	}
	sim.messagesSent++
	sim.bytesSent += len(data)
	for copies := 1; copies > 0; copies-- {
		if sim.rand.Float64() < sim.lossRate {
			sim.faultCounts["lost message"]++
			continue
		}
		if sim.rand.Float64() < sim.duplicationRate {
			sim.faultCounts["duplicated message"]++
			copies++
		}
		at := sim.now.Add(time.Millisecond + time.Duration(sim.rand.Int64N(int64(sim.maxDelay))))
		sim.inFlight = append(sim.inFlight, inFlightMessage{arrivesAt: at, from: from, to: e.To, data: data})
	}
}

const stepInterval = 50 * time.Millisecond

// run advances the simulated time by d.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(stepInterval)
		sim.deliverMessages()
		for _, v := range slices.Clone(sim.vms) {
			if v.paused {
				continue
			}
			sim.answerStoreCall(v)
			if sim.now.UnixMilli()%profilekeeper.TickInterval.Milliseconds() == 0 {
				sim.step(v, profilekeeper.Tick{})
			}
		}
	}
}

func (sim *simulation) deliverMessages() {
	var due []inFlightMessage
	sim.inFlight = slices.DeleteFunc(sim.inFlight, func(m inFlightMessage) bool {
		if m.arrivesAt.After(sim.now) {
			return false
		}
		due = append(due, m)
		return true
	})
	slices.SortStableFunc(due, func(a, b inFlightMessage) int { return a.arrivesAt.Compare(b.arrivesAt) })
	for _, m := range due {
		to := sim.findVM(m.to)
		if to == nil || to.stopped {
			continue
		}
		if to.paused {
			m.arrivesAt = sim.now.Add(stepInterval)
			sim.inFlight = append(sim.inFlight, m)
			continue
		}
		message, err := peermessenger.Decode(m.data)
		if err != nil {
			sim.reportViolation("%v", err)
			return
		}
		sim.step(to, profilekeeper.PeerMessage{From: m.from, Message: message})
	}
}

func (sim *simulation) findVM(m identifier.Member) *vm {
	for _, v := range sim.vms {
		if v.peer.Member == m {
			return v
		}
	}
	return nil
}

// answerStoreCall answers the store call of a VM. While there is no newer revision,
// a watch is answered with a probability of 1 % per step.
func (sim *simulation) answerStoreCall(v *vm) {
	call := v.pendingCall
	if call == nil {
		return
	}
	value, err := sim.store.read(v)
	if watch, ok := call.(profilekeeper.WatchBook); ok && err == nil && value.Revision <= platformcaller.Revision(watch.After) && sim.rand.IntN(100) > 0 {
		return
	}
	v.pendingCall = nil
	if err != nil {
		sim.step(v, profilekeeper.StoreFailed{})
		return
	}
	book := sim.store.books[value.Revision]
	if sim.defect == adoptsStale && book.Version < v.version {
		sim.checkVersion(v, book)
		return
	}
	sim.step(v, profilekeeper.BookRead{Book: book, Revision: profilekeeper.Revision(value.Revision)})
}

// vmStore implements platformcaller.Store for the writer of one VM.
type vmStore struct {
	*store
	vm *vm
}

func (s *store) checkReachable(v *vm) error {
	if s.down || s.cutDomains[v.peer.Domain] {
		return &platformcaller.UnavailableError{Detail: "down"}
	}
	return nil
}

func (s *store) newestValue() platformcaller.Value { return s.values[len(s.values)-1] }

func (s *store) read(v *vm) (platformcaller.Value, error) {
	if err := s.checkReachable(v); err != nil {
		return platformcaller.Value{}, err
	}
	if s.staleReads && s.simulation.rand.IntN(3) == 0 {
		s.simulation.faultCounts["stale read"]++
		return s.values[s.simulation.rand.IntN(len(s.values))], nil
	}
	return s.newestValue(), nil
}

func (s vmStore) Get(context.Context, string) (platformcaller.Value, error) { return s.read(s.vm) }

func (s vmStore) Watch(context.Context, string, platformcaller.Revision) (platformcaller.Value, error) {
	return s.read(s.vm)
}

func (s vmStore) CompareAndSwap(_ context.Context, _ string, expected platformcaller.Revision, data []byte) (platformcaller.Revision, error) {
	if beforeSwap := s.beforeNextSwap; beforeSwap != nil {
		s.beforeNextSwap = nil
		beforeSwap()
	}
	if err := s.checkReachable(s.vm); err != nil {
		return 0, err
	}
	if s.newestValue().Revision != expected && s.simulation.defect != unconditionalSwap {
		return 0, &platformcaller.ConflictError{Current: s.newestValue()}
	}
	value := platformcaller.Value{Data: data, Revision: s.newestValue().Revision + 1}
	s.values = append(s.values, value)
	s.simulation.recordWrite(data)
	if s.loseNextAnswer {
		s.loseNextAnswer = false
		s.simulation.faultCounts["lost answer"]++
		s.down = s.down || s.simulation.rand.IntN(3) == 0
		if s.simulation.defect == falseNotRun {
			return 0, &platformcaller.UnavailableError{Detail: "no answer"}
		}
		return 0, &platformcaller.OutcomeUnknownError{Detail: "no answer"}
	}
	return value.Revision, nil
}

// recordWrite records the chains of the written versions, and checks that the write
// loses no accepted change and puts no refused change in force.
func (sim *simulation) recordWrite(data []byte) {
	b, err := profilekeeper.Decode(data)
	if err != nil {
		sim.reportViolation("the written value is not a valid book: %v", err)
		return
	}
	sim.store.books = append(sim.store.books, b)
	newest, changes := sim.newestBook, []profilekeeper.Change(nil)
	if b.Version > newest.Version {
		changes, _ = b.ChangesSince(newest.Version)
	}
	for _, c := range changes {
		newest = newest.WithChange(c)
		sim.acceptedChains = append(sim.acceptedChains, newest.Chain)
	}
	if newest.Version == sim.newestBook.Version || newest.Chain != b.Chain {
		sim.reportViolation("the write replaced version %d with a version %d that has a different history", sim.newestBook.Version, b.Version)
	}
	sim.newestBook = newest
	for id, version := range sim.accepted {
		if recent, ok := b.Request(id); !ok || recent.Last != version {
			sim.reportViolation("the accepted change %s at version %d is lost", id, version)
		}
	}
	for id := range sim.refused {
		if _, ok := b.Request(id); ok {
			sim.reportViolation("the refused change %s is in force", id)
		}
	}
}

// write makes a request through a VM's writer and records its answer.
func (sim *simulation) write(v *vm, o profilekeeper.Operation) {
	sim.requestCount++
	r := profilekeeper.Request{
		ID: identifier.ChangeID(fmt.Sprint("c", sim.requestCount)), Author: "ada", Reason: "test", At: sim.now,
		Operations: []profilekeeper.Operation{o},
	}
	accepted, err := v.writer.Write(context.Background(), r)
	var unknown *profilewriter.OutcomeUnknownError
	switch {
	case err == nil:
		sim.accepted[r.ID] = accepted.Last
	case errors.As(err, &unknown):
		sim.faultCounts["change with unknown outcome"]++
	default:
		sim.faultCounts["refused change"]++
		sim.refused[r.ID] = true
		if _, ok := sim.newestBook.Request(r.ID); ok {
			sim.reportViolation("the refused change %s is in force: %v", r.ID, err)
		}
	}
}
