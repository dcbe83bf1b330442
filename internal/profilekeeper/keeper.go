// Package profilekeeper holds the book of profiles that is in force on one entry
// VM and decides how it spreads.
//
// The store's value is the only place where a change is accepted. One entry VM
// of each failure domain watches it and passes changes on to the others of its
// domain; digests between peers find what was missed. A Keeper never replaces
// its book by an older one, whatever the store or a peer says.
//
// All of it is deterministic: a Keeper takes one event and the time, and returns
// effects.
package profilekeeper

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Times and bounds of the exchange.
const (
	TickInterval      = 100 * time.Millisecond
	heartbeatInterval = time.Second            // of the watcher's digests to its failure domain
	takeoverAfter     = 3 * time.Second        // without a digest of the watcher, for each rank
	relayInterval     = 2 * time.Second        // of the watcher's digests to other failure domains, but for changes
	gossipInterval    = 5 * time.Second        // of each VM's digest to one peer of its failure domain
	minReadInterval   = 250 * time.Millisecond // between two answers of the store
	firstBackoff      = 200 * time.Millisecond // after a failed call of the store
	maxFirstBackoff   = 5 * time.Second        // of the first in rank
	maxBackoff        = 30 * time.Second       // of the others
	pullJitter        = 300 * time.Millisecond // before a pull
	pullTimeout       = time.Second
	answerBytesRate   = 64 << 10 // bytes a second, in answers to pulls
	answerBytesBurst  = 1 << 20  // bytes
	maxForwardSize    = 32 << 10 // bytes of changes that are sent unasked; more is left to pulls
)

// Options configure a Keeper.
type Options struct {
	Self   identifier.Member
	Domain identifier.FailureDomain
	Seed   uint64 // of the jitter
}

// Keeper decides for one entry VM. It is used by one goroutine.
type Keeper struct {
	opts Options
	rand *rand.Rand

	book       Book
	verifiedAt time.Time // when the store last confirmed the book; zero: never

	peers          []Peer // in the order of their names
	domainPeers    []identifier.Member
	rank           int       // of this VM among those of its failure domain
	watcherHeardAt time.Time // last digest of a watcher of lower rank, or when the rank began

	watch  watch
	pull   pull
	budget byteBudget

	nextHeartbeat, nextRelay, nextGossip time.Time
	counters                             Counters
	effects                              []Effect
}

// watch is the state of this VM's watch of the store.
type watch struct {
	wanted   bool
	calling  bool
	healthy  bool // the last call was answered
	revision Revision
	failures int
	nextCall time.Time
}

// pull is what this VM is about to ask of a peer, or has asked.
type pull struct {
	from    identifier.Member
	wanted  identifier.ProfileVersion // 0: nothing is asked
	whole   bool
	sendAt  time.Time
	sent    bool
	expires time.Time
}

// Counters count what a Keeper met, since its start.
type Counters struct {
	StoreCalls   uint64 `json:"storeCalls"`
	StoreFails   uint64 `json:"storeFails"`
	StaleReads   uint64 `json:"staleReads"`   // older books from the store
	Diverged     uint64 `json:"diverged"`     // books of the same version with other changes
	Malformed    uint64 `json:"malformed"`    // messages that could not be used
	AnswersSaved uint64 `json:"answersSaved"` // pulls left unanswered for the byte budget
	Adopted      uint64 `json:"adopted"`
}

// New returns a Keeper without a book.
func New(now time.Time, opts Options) *Keeper {
	k := &Keeper{
		opts:           opts,
		rand:           rand.New(rand.NewPCG(opts.Seed, 0)),
		watcherHeardAt: now,
		budget:         newByteBudget(now, answerBytesRate, answerBytesBurst),
	}
	k.nextGossip = now.Add(k.jitter(gossipInterval))
	return k
}

// Book returns the book in force.
func (k *Keeper) Book() Book { return k.book }

// Step takes one event and returns what is to be done, in order.
func (k *Keeper) Step(now time.Time, e Event) []Effect {
	k.effects = nil
	switch e := e.(type) {
	case BookRead:
		k.onBookRead(now, e)
	case BookWritten:
		k.onBookWritten(now, e)
	case StoreFailed:
		k.onStoreFailed(now)
	case PeerReceived:
		k.onMessage(now, e)
	case PeersChanged:
		k.onPeersChanged(now, e)
	case Tick:
		k.onTick(now)
	}
	return k.effects
}

// adopt makes a book the one in force if it is newer. It reports whether it did.
func (k *Keeper) adopt(b Book) bool {
	if b.Version <= k.book.Version {
		if b.Version == k.book.Version && b.Chain != k.book.Chain {
			k.counters.Diverged++
		}
		return false
	}
	k.book = b
	k.counters.Adopted++
	k.nextRelay = time.Time{} // the next tick tells the other failure domains
	k.do(Adopted{Book: b})
	return true
}

func (k *Keeper) do(e Effect) { k.effects = append(k.effects, e) }

func (k *Keeper) send(to identifier.Member, m peermessenger.Message) {
	k.do(Send{To: to, Message: m})
}

// jitter returns a random duration below d.
func (k *Keeper) jitter(d time.Duration) time.Duration {
	return time.Duration(k.rand.Int64N(int64(d)))
}

func (k *Keeper) onTick(now time.Time) {
	k.elect(now)
	k.callStore(now)
	k.heartbeat(now)
	k.relay(now)
	k.gossip(now)
	k.sendPull(now)
}

// heartbeat tells the failure domain that this VM watches the store.
func (k *Keeper) heartbeat(now time.Time) {
	if !k.watch.healthy || now.Before(k.nextHeartbeat) {
		return
	}
	k.nextHeartbeat = now.Add(heartbeatInterval)
	for _, m := range k.domainPeers {
		k.send(m, k.digest(now))
	}
}

// relay sends a digest to a random peer of each other failure domain.
func (k *Keeper) relay(now time.Time) {
	if !k.watch.wanted || now.Before(k.nextRelay) {
		return
	}
	k.nextRelay = now.Add(relayInterval)
	byDomain := make(map[identifier.FailureDomain][]identifier.Member)
	for _, p := range k.peers {
		byDomain[p.Domain] = append(byDomain[p.Domain], p.Member)
	}
	delete(byDomain, k.opts.Domain)
	for _, domain := range sortedKeys(byDomain) {
		k.send(k.pick(byDomain[domain]), k.digest(now))
	}
}

// gossip sends a digest to a random peer of the own failure domain.
func (k *Keeper) gossip(now time.Time) {
	if len(k.domainPeers) == 0 || now.Before(k.nextGossip) {
		return
	}
	k.nextGossip = now.Add(gossipInterval/2 + k.jitter(gossipInterval))
	k.send(k.pick(k.domainPeers), k.digest(now))
}

func (k *Keeper) pick(members []identifier.Member) identifier.Member {
	return members[k.rand.IntN(len(members))]
}

func (k *Keeper) digest(now time.Time) peermessenger.ProfileDigest {
	return peermessenger.ProfileDigest{
		Version:  k.book.Version,
		Chain:    uint64(k.book.Chain),
		Age:      k.age(now),
		Watching: k.watch.healthy,
	}
}

const neverVerified time.Duration = -1

// age returns how long ago the store confirmed the book.
func (k *Keeper) age(now time.Time) time.Duration {
	if k.verifiedAt.IsZero() {
		return neverVerified
	}
	return now.Sub(k.verifiedAt)
}

// verified takes over a peer's word of when the store confirmed the book.
func (k *Keeper) verified(now time.Time, age time.Duration) {
	if age < 0 {
		return
	}
	if at := now.Add(-age); at.After(k.verifiedAt) {
		k.verifiedAt = at
	}
}

func (k *Keeper) isDomainPeer(m identifier.Member) bool {
	return slices.Contains(k.domainPeers, m)
}
