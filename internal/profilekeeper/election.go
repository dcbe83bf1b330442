package profilekeeper

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// The entry VMs of a failure domain are ranked by rendezvous hash. The first
// watches the store. The VM of rank r takes over when it has heard no watcher of
// lower rank for r times takeoverAfter, and steps back when it hears one again.
// Two watchers at a time cost calls of the store and nothing else.

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
		k.watcherHeardAt = now
	}
	for _, p := range k.peers {
		if p.Domain == k.opts.Domain && !slices.Contains(known, p) {
			k.send(p.Member, k.digest(now))
		}
	}
	k.elect(now)
	k.callStore(now)
}

// rankOf returns how many VMs of the failure domain come before one of them.
func (k *Keeper) rankOf(m identifier.Member) int {
	rank := 0
	for _, other := range append(slices.Clone(k.domainPeers), k.opts.Self) {
		if cmp.Or(cmp.Compare(k.score(other), k.score(m)), compareMembers(other, m)) < 0 {
			rank++
		}
	}
	return rank
}

func (k *Keeper) score(m identifier.Member) uint64 {
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

// heardWatcher notes that another VM of the failure domain watches the store.
func (k *Keeper) heardWatcher(now time.Time, m identifier.Member) {
	if k.isDomainPeer(m) && k.rankOf(m) < k.rank {
		k.watcherHeardAt = now
	}
}

// elect decides whether this VM watches the store.
func (k *Keeper) elect(now time.Time) {
	wanted := now.Sub(k.watcherHeardAt) >= time.Duration(k.rank)*takeoverAfter
	if wanted == k.watch.wanted {
		return
	}
	k.watch.wanted = wanted
	k.watch.healthy = false
	if wanted {
		k.watch.nextCall = now
		k.nextRelay = now.Add(k.jitter(relayInterval))
		return
	}
	if k.watch.calling {
		k.watch.calling = false
		k.do(StopWatch{})
	}
}
