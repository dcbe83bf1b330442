// Package profilekeeper defines the book of profiles, the versioned set of all
// profiles and tokens, and replicates it to every entry VM.
//
// A change is accepted only by writing the book to the store. One entry VM of
// each failure domain watches the store and forwards changes to the other VMs of
// its failure domain. Peers exchange digests to find changes that they missed. A
// Keeper never replaces its book with an older one from the store or a peer.
//
// A Keeper is a deterministic state machine: each step takes an event and the
// current time, and returns effects.
package profilekeeper

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Intervals and limits of the exchange with the store and with peers.
const (
	TickInterval        = 100 * time.Millisecond
	heartbeatInterval   = time.Second            // between digests from the watcher to its failure domain
	takeoverDelay       = 3 * time.Second        // without contact from a watcher ranked ahead of this VM, multiplied by this VM's rank
	crossDomainInterval = 2 * time.Second        // between digests from the watcher to other failure domains; a new book is announced at the next tick
	gossipInterval      = 5 * time.Second        // mean time between digests from each VM to one random peer of its failure domain
	minStoreCallDelay   = 250 * time.Millisecond // from a store answer to the next call
	initialBackoff      = 200 * time.Millisecond // after the first failed store call
	maxBackoffRank0     = 5 * time.Second        // for the VM of rank 0
	maxBackoff          = 30 * time.Second       // for all other ranks
	pullJitter          = 300 * time.Millisecond // maximum random delay before a pull
	pullTimeout         = time.Second
	pullAnswerRate      = 64 << 10 // bytes per second in answers to pulls
	pullAnswerBurst     = 1 << 20  // bytes in answers to pulls
	maxForwardBytes     = 32 << 10 // of encoded changes sent without a pull; larger ones are left to pulls
)

// Options configures a Keeper.
type Options struct {
	Self   identifier.Member
	Domain identifier.FailureDomain
	Seed   uint64 // of the random jitter and peer choice
}

// Keeper holds the book in force on one entry VM and decides when that VM calls
// the store and sends messages to peers. It is not safe for concurrent use.
type Keeper struct {
	opts Options
	rand *rand.Rand

	book        Book
	confirmedAt time.Time // when the store last confirmed that the book is current; zero if never

	peers              []Peer // ordered by VM and incarnation
	domainPeers        []identifier.Member
	rank               int       // of this VM in its failure domain; 0 watches the store
	lastWatcherContact time.Time // last message from a watcher ranked ahead of this VM, or when this VM's rank last changed

	watch        storeWatch
	pull         pendingPull
	answerBudget byteBudget

	nextHeartbeat, nextCrossDomain, nextGossip time.Time
	counters                                   Counters
	effects                                    []Effect
}

// storeWatch is the state of this VM's store calls.
type storeWatch struct {
	elected     bool // this VM is to watch the store
	callPending bool
	healthy     bool // the last store call succeeded
	revision    Revision
	failures    int // consecutive failed calls
	nextCall    time.Time
	verifyingAt time.Time // when the read that answers a VerifyRequested began; zero: there is none
}

// pendingPull is a scheduled or sent pull: a request to a peer for a newer book.
type pendingPull struct {
	from          identifier.Member
	targetVersion identifier.ProfileVersion // 0 if there is none
	fullBook      bool
	sendAt        time.Time
	sent          bool
	expiresAt     time.Time
}

// Counters counts events since the Keeper was created.
type Counters struct {
	StoreCalls      uint64 `json:"storeCalls"`
	StoreFailures   uint64 `json:"storeFails"`
	StaleReads      uint64 `json:"staleReads"`   // store answers with a book older than the one in force
	Diverged        uint64 `json:"diverged"`     // books or digests with the same version but a different chain
	Malformed       uint64 `json:"malformed"`    // peer messages with changes or a book that could not be applied
	PullsUnanswered uint64 `json:"answersSaved"` // pulls left unanswered because the byte budget was exhausted
	Adopted         uint64 `json:"adopted"`      // books put in force
}

// New returns a Keeper whose book is empty.
func New(now time.Time, opts Options) *Keeper {
	k := &Keeper{
		opts:               opts,
		rand:               rand.New(rand.NewPCG(opts.Seed, 0)),
		lastWatcherContact: now,
		answerBudget:       newByteBudget(now, pullAnswerRate, pullAnswerBurst),
	}
	k.nextGossip = now.Add(k.jitter(gossipInterval))
	return k
}

// Book returns the book in force.
func (k *Keeper) Book() Book { return k.book }

// Step processes one event and returns the effects to perform, in order.
func (k *Keeper) Step(now time.Time, e Event) []Effect {
	k.effects = nil
	switch e := e.(type) {
	case BookRead:
		k.onBookRead(now, e)
	case BookWritten:
		k.onBookWritten(now, e)
	case StoreFailed:
		k.onStoreFailed(now)
	case VerifyRequested:
		k.verify(now)
	case PeerMessage:
		k.onMessage(now, e)
	case PeersChanged:
		k.onPeersChanged(now, e)
	case Tick:
		k.onTick(now)
	}
	return k.effects
}

// adopt puts a book in force if it is newer than the current one, and reports
// whether it did.
func (k *Keeper) adopt(b Book) bool {
	if b.Version <= k.book.Version {
		if b.Version == k.book.Version && b.Chain != k.book.Chain {
			k.counters.Diverged++
		}
		return false
	}
	k.book = b
	k.counters.Adopted++
	k.nextCrossDomain = time.Time{} // the next tick sends digests to the other failure domains
	k.emit(BookAdopted{Book: b})
	return true
}

func (k *Keeper) emit(e Effect) { k.effects = append(k.effects, e) }

func (k *Keeper) send(to identifier.Member, m peermessenger.Message) {
	k.emit(Send{To: to, Message: m})
}

// jitter returns a random duration below d.
func (k *Keeper) jitter(d time.Duration) time.Duration {
	return time.Duration(k.rand.Int64N(int64(d)))
}

func (k *Keeper) onTick(now time.Time) {
	k.elect(now)
	k.startStoreCall(now)
	k.sendHeartbeats(now)
	k.sendCrossDomainDigests(now)
	k.sendGossip(now)
	k.sendPull(now)
}

// sendHeartbeats sends a digest to every peer of this VM's failure domain while the
// store answers this VM's calls.
func (k *Keeper) sendHeartbeats(now time.Time) {
	if !k.watch.healthy || now.Before(k.nextHeartbeat) {
		return
	}
	k.nextHeartbeat = now.Add(heartbeatInterval)
	for _, m := range k.domainPeers {
		k.send(m, k.digest(now))
	}
}

// sendCrossDomainDigests sends a digest to one random peer of each other failure
// domain if this VM is the watcher.
func (k *Keeper) sendCrossDomainDigests(now time.Time) {
	if !k.watch.elected || now.Before(k.nextCrossDomain) {
		return
	}
	k.nextCrossDomain = now.Add(crossDomainInterval)
	byDomain := make(map[identifier.FailureDomain][]identifier.Member)
	for _, p := range k.peers {
		byDomain[p.Domain] = append(byDomain[p.Domain], p.Member)
	}
	delete(byDomain, k.opts.Domain)
	for _, domain := range sortedKeys(byDomain) {
		k.send(k.randomMember(byDomain[domain]), k.digest(now))
	}
}

// sendGossip sends a digest to one random peer of this VM's failure domain.
func (k *Keeper) sendGossip(now time.Time) {
	if len(k.domainPeers) == 0 || now.Before(k.nextGossip) {
		return
	}
	k.nextGossip = now.Add(gossipInterval/2 + k.jitter(gossipInterval))
	k.send(k.randomMember(k.domainPeers), k.digest(now))
}

func (k *Keeper) randomMember(members []identifier.Member) identifier.Member {
	return members[k.rand.IntN(len(members))]
}

func (k *Keeper) digest(now time.Time) peermessenger.ProfileDigest {
	return peermessenger.ProfileDigest{
		Version:  k.book.Version,
		Chain:    uint64(k.book.Chain),
		Age:      k.confirmationAge(now),
		Watching: k.watch.healthy,
	}
}

const neverConfirmed time.Duration = -1

// confirmationAge returns how long ago the store confirmed that the book is
// current, or neverConfirmed.
func (k *Keeper) confirmationAge(now time.Time) time.Duration {
	if k.confirmedAt.IsZero() {
		return neverConfirmed
	}
	return now.Sub(k.confirmedAt)
}

// updateConfirmedAt records that the store confirmed, age ago, that the book is
// current. It ignores
// a negative age, and one that is older than what is already recorded.
func (k *Keeper) updateConfirmedAt(now time.Time, age time.Duration) {
	if age < 0 {
		return
	}
	if at := now.Add(-age); at.After(k.confirmedAt) {
		k.confirmedAt = at
	}
}

func (k *Keeper) isDomainPeer(m identifier.Member) bool {
	return slices.Contains(k.domainPeers, m)
}
