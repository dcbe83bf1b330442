package profilekeeper

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

func (k *Keeper) onMessage(now time.Time, e PeerMessage) {
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
		k.recordWatcherContact(now, from)
	}
	switch {
	case m.Version > k.book.Version:
		k.schedulePull(now, from, m.Version, false)
	case m.Version < k.book.Version:
		k.send(from, k.digest(now))
	case m.Chain != uint64(k.book.Chain):
		k.counters.Diverged++
	default:
		k.updateConfirmedAt(now, m.Age)
	}
}

// schedulePull schedules a pull from a peer that has a newer version, unless a pull
// is in progress. The random delay leaves time for the changes to arrive without a
// pull.
func (k *Keeper) schedulePull(now time.Time, from identifier.Member, version identifier.ProfileVersion, fullBook bool) {
	if k.pull.targetVersion > k.book.Version && now.Before(k.pull.expiresAt) {
		return
	}
	k.pull = pendingPull{from: from, targetVersion: version, fullBook: fullBook, sendAt: now.Add(k.jitter(pullJitter))}
	k.pull.expiresAt = k.pull.sendAt.Add(pullTimeout)
}

// sendPull sends the scheduled pull when it is due and still needed.
func (k *Keeper) sendPull(now time.Time) {
	p := &k.pull
	if p.targetVersion <= k.book.Version || p.sent || now.Before(p.sendAt) {
		return
	}
	p.sent = true
	m := peermessenger.ProfilePull{Version: k.book.Version, Chain: uint64(k.book.Chain)}
	if p.fullBook {
		m = peermessenger.ProfilePull{}
	}
	k.send(p.from, m)
}

func (k *Keeper) onPull(now time.Time, from identifier.Member, m peermessenger.ProfilePull) {
	if m.Version >= k.book.Version {
		return
	}
	answer, size := k.pullAnswer(now, m)
	if !k.answerBudget.spend(now, size) {
		k.counters.PullsUnanswered++
		return // the peer pulls again after a later digest
	}
	k.send(from, answer)
}

// pullAnswer returns the changes that a peer lacks. It returns the full book
// instead if the history does not reach back to the peer's version or the peer's
// chain differs. The size is in bytes.
func (k *Keeper) pullAnswer(now time.Time, m peermessenger.ProfilePull) (answer peermessenger.Message, size int) {
	changes, ok := k.book.ChangesSince(m.Version)
	if ok && m.Version > 0 && k.book.chainAt(m.Version) == Chain(m.Chain) {
		data := mustEncode(changes)
		return peermessenger.ProfileChanges{
			Version: m.Version, Chain: m.Chain, Changes: data, Age: k.confirmationAge(now), Watching: k.watch.healthy,
		}, len(data)
	}
	data := Encode(k.book)
	return peermessenger.ProfileBook{Book: data, Age: k.confirmationAge(now)}, len(data)
}

func (k *Keeper) onChanges(now time.Time, from identifier.Member, m peermessenger.ProfileChanges) {
	if m.Watching {
		k.recordWatcherContact(now, from)
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
		k.schedulePull(now, from, last, m.Version == k.book.Version)
		return
	}
	b, err := k.book.withPeerChanges(changes)
	if err != nil {
		k.counters.Malformed++
		return
	}
	k.adoptFromPeer(now, from, b, m.Age)
}

func (k *Keeper) onBook(now time.Time, from identifier.Member, m peermessenger.ProfileBook) {
	b, err := Decode(m.Book)
	if err != nil {
		k.counters.Malformed++
		return
	}
	k.adoptFromPeer(now, from, b, m.Age)
}

// adoptFromPeer adopts a peer's book if it is newer. A book from another failure
// domain is forwarded to this VM's own domain.
func (k *Keeper) adoptFromPeer(now time.Time, from identifier.Member, b Book, age time.Duration) {
	before := k.book
	if !k.adopt(b) {
		return
	}
	k.updateConfirmedAt(now, age)
	if !k.isDomainPeer(from) {
		k.forwardChanges(now, before)
	}
}

// forwardChanges sends the changes since an earlier book to the other VMs of this
// VM's failure domain. It sends a digest instead if the changes exceed
// maxForwardBytes or are no longer all in the history.
func (k *Keeper) forwardChanges(now time.Time, before Book) {
	changes, ok := k.book.ChangesSince(before.Version)
	data := mustEncode(changes)
	var m peermessenger.Message = k.digest(now)
	if ok && len(data) <= maxForwardBytes {
		m = peermessenger.ProfileChanges{
			Version: before.Version, Chain: uint64(before.Chain), Changes: data, Age: k.confirmationAge(now), Watching: k.watch.healthy,
		}
	}
	for _, peer := range k.domainPeers {
		k.send(peer, m)
	}
}
