package profilekeeper

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// The entry VMs of a failure domain are ranked by rendezvous hash. The VM of rank
// 0 watches the store. The VM of rank r takes over when it has had no contact
// from a watcher ranked ahead of it for r times takeoverDelay, and stops watching
// when it receives a message from one again. Two simultaneous watchers are harmless
// apart from the extra store calls.

func (k *Keeper) onPeersChanged(now time.Time, e PeersChanged) {
	known := k.peers
	k.peers = slices.Clone(e.Peers)
	slices.SortFunc(k.peers, func(a, b Peer) int { return compareMembers(a.Member, b.Member) })
	k.domainPeers = nil
	for _, p := range k.peers {
		if p.Domain == k.opts.Domain {
			k.domainPeers = append(k.domainPeers, p.Member)
		}
	}
	if rank := k.rankOf(k.opts.Self); rank != k.rank {
		k.rank = rank
		k.lastWatcherContact = now
	}
	for _, p := range k.peers {
		if p.Domain == k.opts.Domain && !slices.Contains(known, p) {
			k.send(p.Member, k.digest(now))
		}
	}
	k.elect(now)
	k.startStoreCall(now)
}

// rankOf returns how many VMs of the failure domain are ranked ahead of m.
func (k *Keeper) rankOf(m identifier.Member) int {
	rank := 0
	for _, other := range append(slices.Clone(k.domainPeers), k.opts.Self) {
		if cmp.Or(cmp.Compare(k.rendezvousScore(other), k.rendezvousScore(m)), compareMembers(other, m)) < 0 {
			rank++
		}
	}
	return rank
}

func (k *Keeper) rendezvousScore(m identifier.Member) uint64 {
	var d xxhash.Digest
	_, _ = d.WriteString(string(k.opts.Domain))
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(string(m.VM))
	_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(m.Incarnation)))
	return d.Sum64()
}

func compareMembers(a, b identifier.Member) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
}

// recordWatcherContact records a message from m, which watches the store, if m is
// ranked ahead of this VM in its failure domain.
func (k *Keeper) recordWatcherContact(now time.Time, m identifier.Member) {
	if k.isDomainPeer(m) && k.rankOf(m) < k.rank {
		k.lastWatcherContact = now
	}
}

// elect decides whether this VM is to watch the store, and starts or stops the
// store calls accordingly.
func (k *Keeper) elect(now time.Time) {
	elected := now.Sub(k.lastWatcherContact) >= time.Duration(k.rank)*takeoverDelay
	if elected == k.watch.elected {
		return
	}
	k.watch.elected = elected
	k.watch.healthy = false
	if elected {
		k.watch.nextCall = now
		k.nextCrossDomain = now.Add(k.jitter(crossDomainInterval))
		return
	}
	if k.watch.callPending {
		k.watch.callPending = false
		k.emit(CancelStoreCall{})
	}
}
