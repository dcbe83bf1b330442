package runner

import (
	"sync"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peerlinker"
)

// linkTable holds the peers to which a link stands.
type linkTable struct {
	mu    sync.Mutex
	peers map[identifier.Member]peerlinker.Peer
}

func newLinkTable() *linkTable {
	return &linkTable{peers: make(map[identifier.Member]peerlinker.Peer)}
}

func (t *linkTable) up(p peerlinker.Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[p.Member] = p
}

func (t *linkTable) down(p peerlinker.Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.peers, p.Member)
}

// reaches reports whether a link to an entry VM of the failure domain stands.
func (t *linkTable) reaches(domain identifier.FailureDomain) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if p.Domain == domain {
			return true
		}
	}
	return false
}
