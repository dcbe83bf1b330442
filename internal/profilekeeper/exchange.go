package profilekeeper

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

func (k *Keeper) onMessage(now time.Time, e PeerReceived) {
	switch m := e.Message.(type) {
	case peermessenger.ProfileDigest:
		k.onDigest(now, e.From, m)
	case peermessenger.ProfilePull:
		k.onPull(now, e.From, m)
	case peermessenger.ProfileChanges:
		k.onChanges(now, e.From, m)
	case peermessenger.ProfileBook:
		k.onBook(now, e.From, m)
	}
}

func (k *Keeper) onDigest(now time.Time, from identifier.Member, m peermessenger.ProfileDigest) {
	if m.Watching {
		k.heardWatcher(now, from)
	}
	switch {
	case m.Version > k.book.Version:
		k.wantPull(now, from, m.Version, false)
	case m.Version < k.book.Version:
		k.send(from, k.digest(now))
	case m.Chain != uint64(k.book.Chain):
		k.counters.Diverged++
	default:
		k.verified(now, m.Age)
	}
}

// wantPull asks a peer for what is missing, after a jitter in which it may come
// by itself.
func (k *Keeper) wantPull(now time.Time, from identifier.Member, version identifier.ProfileVersion, whole bool) {
	if k.pull.wanted > k.book.Version && now.Before(k.pull.expires) {
		return
	}
	k.pull = pull{from: from, wanted: version, whole: whole, sendAt: now.Add(k.jitter(pullJitter))}
	k.pull.expires = k.pull.sendAt.Add(pullTimeout)
}

func (k *Keeper) sendPull(now time.Time) {
	p := &k.pull
	if p.wanted <= k.book.Version || p.sent || now.Before(p.sendAt) {
		return
	}
	p.sent = true
	m := peermessenger.ProfilePull{Version: k.book.Version, Chain: uint64(k.book.Chain)}
	if p.whole {
		m = peermessenger.ProfilePull{}
	}
	k.send(p.from, m)
}

func (k *Keeper) onPull(now time.Time, from identifier.Member, m peermessenger.ProfilePull) {
	if m.Version >= k.book.Version {
		return
	}
	answer, size := k.answer(now, m)
	if !k.budget.spend(now, size) {
		k.counters.AnswersSaved++
		return // the peer asks again after a later digest
	}
	k.send(from, answer)
}

// answer returns the changes that a peer misses, or the book if the history
// doesn't reach back to the peer's version or the peer took other changes.
func (k *Keeper) answer(now time.Time, m peermessenger.ProfilePull) (answer peermessenger.Message, size int) {
	changes, ok := k.book.Since(m.Version)
	if ok && m.Version > 0 && k.book.chainAt(m.Version) == Chain(m.Chain) {
		data := mustEncode(changes)
		return peermessenger.ProfileChanges{
			Version: m.Version, Chain: m.Chain, Changes: data, Age: k.age(now), Watching: k.watch.healthy,
		}, len(data)
	}
	data := Encode(k.book)
	return peermessenger.ProfileBook{Book: data, Age: k.age(now)}, len(data)
}

func (k *Keeper) onChanges(now time.Time, from identifier.Member, m peermessenger.ProfileChanges) {
	if m.Watching {
		k.heardWatcher(now, from)
	}
	changes, err := decodeChanges(m.Changes)
	if err != nil || len(changes) == 0 {
		k.counters.Malformed++
		return
	}
	last := changes[len(changes)-1].Version
	if last <= k.book.Version {
		return
	}
	if m.Version != k.book.Version || Chain(m.Chain) != k.book.Chain {
		k.wantPull(now, from, last, m.Version == k.book.Version)
		return
	}
	b, err := k.book.follow(changes)
	if err != nil {
		k.counters.Malformed++
		return
	}
	k.takeFromPeer(now, from, b, m.Age)
}

func (k *Keeper) onBook(now time.Time, from identifier.Member, m peermessenger.ProfileBook) {
	b, err := Decode(m.Book)
	if err != nil {
		k.counters.Malformed++
		return
	}
	k.takeFromPeer(now, from, b, m.Age)
}

// takeFromPeer adopts a peer's book. What came from another failure domain is
// passed on to the own one.
func (k *Keeper) takeFromPeer(now time.Time, from identifier.Member, b Book, age time.Duration) {
	before := k.book
	if !k.adopt(b) {
		return
	}
	k.verified(now, age)
	if !k.isDomainPeer(from) {
		k.forward(now, before)
	}
}

// forward sends the changes since an earlier book to the failure domain, or a
// digest if they are too large or not all known.
func (k *Keeper) forward(now time.Time, before Book) {
	changes, ok := k.book.Since(before.Version)
	data := mustEncode(changes)
	var m peermessenger.Message = k.digest(now)
	if ok && len(data) <= maxForwardSize {
		m = peermessenger.ProfileChanges{
			Version: before.Version, Chain: uint64(before.Chain), Changes: data, Age: k.age(now), Watching: k.watch.healthy,
		}
	}
	for _, peer := range k.domainPeers {
		k.send(peer, m)
	}
}
