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

// defect is a fault that is built into a world so that a property must fail.
type defect string

const (
	noDefect          defect = ""
	adoptsStale       defect = "a VM takes over an older book from the store"
	blindSwap         defect = "the store writes whatever the revision"
	falseNotRun       defect = "a lost answer is reported as no write"
	neverPulls        defect = "pulls are never sent"
	neverSendsDigests defect = "nothing but changes is sent"
)

// world joins keepers and writers by a faulty network and a faulty store.
type world struct {
	rand   *rand.Rand
	defect defect
	now    time.Time
	vms    []*vm
	store  store
	wire   []inFlight
	cuts   map[[2]identifier.FailureDomain]bool
	loss   float64 // share of messages that are lost
	copies float64 // share of messages that arrive twice
	delay  time.Duration

	log      []profilekeeper.Chain // true chain by version, from 0
	tip      profilekeeper.Book    // the last one of the log
	accepted map[identifier.ChangeID]identifier.ProfileVersion
	refused  map[identifier.ChangeID]bool
	requests int
	faults   map[string]int // reached, by kind
	sent     int
	bytes    int
	violated error
	onEffect func(v *vm, e profilekeeper.Effect) // may be nil
}

type vm struct {
	peer    profilekeeper.Peer
	keeper  *profilekeeper.Keeper
	writer  *profilewriter.Writer
	dead    bool
	paused  bool
	version identifier.ProfileVersion
	links   []profilekeeper.Peer
	call    profilekeeper.Effect // the call of the store that is waiting, or nil
}

type inFlight struct {
	at       time.Time
	from, to identifier.Member
	data     []byte
}

// store is a key's history with the faults of the platform's service.
type store struct {
	world   *world
	values  []platformcaller.Value // by revision
	books   []profilekeeper.Book   // by revision
	down    bool
	stale   bool // reads may show an older value
	lose    bool // the next write's answer is lost
	cut     map[identifier.FailureDomain]bool
	between func() // called once, before the next write
}

func newWorld(seed uint64, d defect) *world {
	w := &world{
		rand: rand.New(rand.NewPCG(seed, seed)), defect: d, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		cuts: make(map[[2]identifier.FailureDomain]bool), delay: 20 * time.Millisecond,
		log: []profilekeeper.Chain{0}, accepted: make(map[identifier.ChangeID]identifier.ProfileVersion),
		refused: make(map[identifier.ChangeID]bool), faults: make(map[string]int),
	}
	w.store = store{world: w, values: []platformcaller.Value{{}}, books: []profilekeeper.Book{{}}, cut: make(map[identifier.FailureDomain]bool)}
	return w
}

func (w *world) violate(format string, args ...any) {
	if w.violated == nil {
		w.violated = errors.Newf(format, args...)
	}
}

// boot starts a process on a VM, after whatever process ran there.
func (w *world) boot(name identifier.VMID, domain identifier.FailureDomain) *vm {
	incarnation := identifier.Incarnation(1)
	for _, v := range w.vms {
		if v.peer.Member.VM == name {
			v.dead = true
			incarnation = max(incarnation, v.peer.Member.Incarnation+1)
		}
	}
	self := identifier.Member{VM: name, Incarnation: incarnation}
	v := &vm{peer: profilekeeper.Peer{Member: self, Domain: domain}}
	seed := w.rand.Uint64()
	v.keeper = profilekeeper.New(w.now, profilekeeper.Options{Self: self, Domain: domain, Seed: seed})
	v.writer = profilewriter.New(profilewriter.Options{
		Store: vmStore{&w.store, v},
		Known: v.keeper.Book,
		Written: func(b profilekeeper.Book) {
			w.step(v, profilekeeper.BookWritten{Book: b})
		},
		Seed: seed,
	})
	w.vms = slices.DeleteFunc(w.vms, func(v *vm) bool { return v.dead })
	w.vms = append(w.vms, v)
	w.relink()
	return v
}

// relink tells each VM the peers that it can reach.
func (w *world) relink() {
	for _, v := range w.vms {
		var links []profilekeeper.Peer
		for _, other := range w.vms {
			if other != v && w.reaches(v, other) {
				links = append(links, other.peer)
			}
		}
		if !v.dead && !v.paused && !slices.Equal(links, v.links) {
			v.links = links
			w.step(v, profilekeeper.PeersChanged{Peers: links})
		}
	}
}

func (w *world) reaches(a, b *vm) bool {
	return !a.dead && !b.dead && !w.cuts[domainPair(a.peer.Domain, b.peer.Domain)]
}

func domainPair(a, b identifier.FailureDomain) [2]identifier.FailureDomain {
	return [2]identifier.FailureDomain{min(a, b), max(a, b)}
}

// step feeds one event to a VM, carries out the effects and checks what must
// hold after each step.
func (w *world) step(v *vm, e profilekeeper.Event) {
	if v.dead {
		return
	}
	for _, effect := range v.keeper.Step(w.now, e) {
		w.carryOut(v, effect)
	}
	w.check(v, v.keeper.Book())
}

func (w *world) check(v *vm, b profilekeeper.Book) {
	if b.Version < v.version {
		w.violate("%v went back from version %d to %d", v.peer.Member, v.version, b.Version)
	}
	v.version = b.Version
	if int(b.Version) >= len(w.log) || w.log[b.Version] != b.Chain {
		w.violate("%v has a version %d that was never accepted", v.peer.Member, b.Version)
	}
}

func (w *world) carryOut(v *vm, effect profilekeeper.Effect) {
	if w.onEffect != nil {
		w.onEffect(v, effect)
	}
	switch e := effect.(type) {
	case profilekeeper.Send:
		w.transmit(v.peer.Member, e)
	case profilekeeper.ReadBook, profilekeeper.WatchBook:
		v.call = e
	case profilekeeper.StopWatch:
		v.call = nil
	}
}

func (w *world) transmit(from identifier.Member, e profilekeeper.Send) {
	switch e.Message.(type) {
	case peermessenger.ProfilePull:
		if w.defect == neverPulls {
			return
		}
	case peermessenger.ProfileDigest:
		if w.defect == neverSendsDigests {
			return
		}
	}
	data, err := peermessenger.Encode(e.Message)
	if err != nil {
		w.violate("%v", err)
		return
	}
	w.sent++
	w.bytes += len(data)
	for copies := 1; copies > 0; copies-- {
		if w.rand.Float64() < w.loss {
			w.faults["lost message"]++
			continue
		}
		if w.rand.Float64() < w.copies {
			w.faults["doubled message"]++
			copies++
		}
		at := w.now.Add(time.Millisecond + time.Duration(w.rand.Int64N(int64(w.delay))))
		w.wire = append(w.wire, inFlight{at: at, from: from, to: e.To, data: data})
	}
}

const pace = 50 * time.Millisecond

// run lets time pass.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(pace)
		w.deliver()
		for _, v := range slices.Clone(w.vms) {
			if v.paused {
				continue
			}
			w.answer(v)
			if w.now.UnixMilli()%profilekeeper.TickInterval.Milliseconds() == 0 {
				w.step(v, profilekeeper.Tick{})
			}
		}
	}
}

func (w *world) deliver() {
	var due []inFlight
	w.wire = slices.DeleteFunc(w.wire, func(m inFlight) bool {
		if m.at.After(w.now) {
			return false
		}
		due = append(due, m)
		return true
	})
	slices.SortStableFunc(due, func(a, b inFlight) int { return a.at.Compare(b.at) })
	for _, m := range due {
		to := w.find(m.to)
		if to == nil || to.dead {
			continue
		}
		if to.paused {
			m.at = w.now.Add(pace)
			w.wire = append(w.wire, m)
			continue
		}
		message, err := peermessenger.Decode(m.data)
		if err != nil {
			w.violate("%v", err)
			return
		}
		w.step(to, profilekeeper.PeerReceived{From: m.from, Message: message})
	}
}

func (w *world) find(m identifier.Member) *vm {
	for _, v := range w.vms {
		if v.peer.Member == m {
			return v
		}
	}
	return nil
}

// answer answers the call of the store that a VM waits for, if it is time.
func (w *world) answer(v *vm) {
	call := v.call
	if call == nil {
		return
	}
	value, err := w.store.read(v)
	if watch, ok := call.(profilekeeper.WatchBook); ok && err == nil && value.Revision <= platformcaller.Revision(watch.After) && w.rand.IntN(100) > 0 {
		return
	}
	v.call = nil
	if err != nil {
		w.step(v, profilekeeper.StoreFailed{})
		return
	}
	book := w.store.books[value.Revision]
	if w.defect == adoptsStale && book.Version < v.version {
		w.check(v, book)
		return
	}
	w.step(v, profilekeeper.BookRead{Book: book, Revision: profilekeeper.Revision(value.Revision)})
}

// vmStore is the store as the writer of one VM calls it.
type vmStore struct {
	*store
	vm *vm
}

func (s *store) reach(v *vm) error {
	if s.down || s.cut[v.peer.Domain] {
		return &platformcaller.UnavailableError{Detail: "down"}
	}
	return nil
}

func (s *store) newest() platformcaller.Value { return s.values[len(s.values)-1] }

func (s *store) read(v *vm) (platformcaller.Value, error) {
	if err := s.reach(v); err != nil {
		return platformcaller.Value{}, err
	}
	if s.stale && s.world.rand.IntN(3) == 0 {
		s.world.faults["stale read"]++
		return s.values[s.world.rand.IntN(len(s.values))], nil
	}
	return s.newest(), nil
}

func (s vmStore) Get(context.Context, string) (platformcaller.Value, error) { return s.read(s.vm) }

func (s vmStore) Watch(context.Context, string, platformcaller.Revision) (platformcaller.Value, error) {
	return s.read(s.vm)
}

func (s vmStore) Swap(_ context.Context, _ string, expected platformcaller.Revision, data []byte) (platformcaller.Revision, error) {
	if between := s.between; between != nil {
		s.between = nil
		between()
	}
	if err := s.reach(s.vm); err != nil {
		return 0, err
	}
	if s.newest().Revision != expected && s.world.defect != blindSwap {
		return 0, &platformcaller.ConflictError{Current: s.newest()}
	}
	value := platformcaller.Value{Data: data, Revision: s.newest().Revision + 1}
	s.values = append(s.values, value)
	s.world.record(data)
	if s.lose {
		s.lose = false
		s.world.faults["lost answer"]++
		s.down = s.down || s.world.rand.IntN(3) == 0
		if s.world.defect == falseNotRun {
			return 0, &platformcaller.UnavailableError{Detail: "no answer"}
		}
		return 0, &platformcaller.OutcomeUnknownError{Detail: "no answer"}
	}
	return value.Revision, nil
}

// record notes which chain a version has from now on, and checks that no
// accepted change is lost and no refused one is in force.
func (w *world) record(data []byte) {
	b, err := profilekeeper.Decode(data)
	if err != nil {
		w.violate("stored: %v", err)
		return
	}
	w.store.books = append(w.store.books, b)
	tip, changes := w.tip, []profilekeeper.Change(nil)
	if b.Version > tip.Version {
		changes, _ = b.Since(tip.Version)
	}
	for _, c := range changes {
		tip = tip.Advance(c)
		w.log = append(w.log, tip.Chain)
	}
	if tip.Version == w.tip.Version || tip.Chain != b.Chain {
		w.violate("the store went from version %d to another past of version %d", w.tip.Version, b.Version)
	}
	w.tip = tip
	for id, version := range w.accepted {
		if recent, ok := b.Request(id); !ok || recent.Last != version {
			w.violate("the accepted change %s at version %d is lost", id, version)
		}
	}
	for id := range w.refused {
		if _, ok := b.Request(id); ok {
			w.violate("the refused change %s is in force", id)
		}
	}
}

// write makes a request through a VM and notes the answer.
func (w *world) write(v *vm, o profilekeeper.Operation) {
	w.requests++
	r := profilekeeper.Request{
		ID: identifier.ChangeID(fmt.Sprint("c", w.requests)), Author: "ada", Reason: "test", At: w.now,
		Operations: []profilekeeper.Operation{o},
	}
	accepted, err := v.writer.Write(context.Background(), r)
	var unknown *profilewriter.OutcomeUnknownError
	switch {
	case err == nil:
		w.accepted[r.ID] = accepted.Last
	case errors.As(err, &unknown):
		w.faults["unsettled change"]++
	default:
		w.faults["refused change"]++
		w.refused[r.ID] = true
		if _, ok := w.tip.Request(r.ID); ok {
			w.violate("the refused change %s is in force: %v", r.ID, err)
		}
	}
}
