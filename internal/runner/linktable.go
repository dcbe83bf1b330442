package runner

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peerlinker"
	"github.com/peppertrack/peppertrack/internal/profilekeeper"
)

// unlinkedPeerRetention is how long a peer is reported as cut off after its link
// was lost.
const unlinkedPeerRetention = 10 * time.Minute

// linkTable holds the linked peers, and those whose link was lost recently.
type linkTable struct {
	mu       sync.Mutex
	up       map[identifier.VMID]peerlinker.Peer
	unlinked map[identifier.VMID]unlinkedPeer
}

// unlinkedPeer is a peer whose link was lost, and when.
type unlinkedPeer struct {
	peer peerlinker.Peer
	at   time.Time
}

func newLinkTable() *linkTable {
	return &linkTable{
		up:       make(map[identifier.VMID]peerlinker.Peer),
		unlinked: make(map[identifier.VMID]unlinkedPeer),
	}
}

func (t *linkTable) setUp(p peerlinker.Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.up[p.Member.VM] = p
	delete(t.unlinked, p.Member.VM)
}

func (t *linkTable) setDown(p peerlinker.Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.up[p.Member.VM].Member != p.Member {
		return // a later incarnation is linked already
	}
	delete(t.up, p.Member.VM)
	t.unlinked[p.Member.VM] = unlinkedPeer{peer: p, at: time.Now()}
}

// reaches reports whether an entry VM of the failure domain is linked.
func (t *linkTable) reaches(domain identifier.FailureDomain) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.up {
		if p.Domain == domain {
			return true
		}
	}
	return false
}

// linked returns the linked peers, sorted by VM.
func (t *linkTable) linked() []peerlinker.Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	peers := make([]peerlinker.Peer, 0, len(t.up))
	for _, p := range t.up {
		peers = append(peers, p)
	}
	sortPeers(peers)
	return peers
}

// recentlyUnlinked returns the peers whose link was lost less than
// unlinkedPeerRetention ago, sorted by VM.
func (t *linkTable) recentlyUnlinked() []peerlinker.Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var peers []peerlinker.Peer
	for vm, l := range t.unlinked {
		if time.Since(l.at) > unlinkedPeerRetention {
			delete(t.unlinked, vm)
			continue
		}
		peers = append(peers, l.peer)
	}
	sortPeers(peers)
	return peers
}

func sortPeers(peers []peerlinker.Peer) {
	slices.SortFunc(peers, func(a, b peerlinker.Peer) int {
		return strings.Compare(string(a.Member.VM), string(b.Member.VM))
	})
}

// keeperPeers returns the linked peers in the type of the profile keeper.
func (t *linkTable) keeperPeers() []profilekeeper.Peer {
	linked := t.linked()
	peers := make([]profilekeeper.Peer, len(linked))
	for i, p := range linked {
		peers[i] = profilekeeper.Peer{Member: p.Member, Domain: p.Domain}
	}
	return peers
}
