package peerlinker

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// linkedTo returns the VMs to which a peer has a session, sorted.
func (p *testPeer) linkedTo() (vms []identifier.VMID) {
	p.linker.mu.Lock()
	defer p.linker.mu.Unlock()
	for vm := range p.linker.sessions {
		vms = append(vms, vm)
	}
	slices.Sort(vms)
	return vms
}

// awaitLinks waits until each peer is linked to just the given VMs.
func awaitLinks(t *testing.T, peers []*testPeer, want ...[]identifier.VMID) {
	t.Helper()
	const patience = 10 * time.Second
	for deadline := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
		right := true
		for i, p := range peers {
			p.linker.reviewLinks()
			right = right && slices.Equal(p.linkedTo(), want[i])
		}
		if right {
			return
		}
		if time.Now().After(deadline) {
			for i, p := range peers {
				t.Errorf("%s is linked to %v, want %v", p.self.Member.VM, p.linkedTo(), want[i])
			}
			return
		}
	}
}

// TestLinksThatNobodyNeeds guards against a link to every VM of a large fleet: a link
// ends if neither VM needs it, stays if one of them does, and comes back once it is
// needed again.
func TestLinksThatNobodyNeeds(t *testing.T) {
	type vms = []identifier.VMID
	var peers []*testPeer
	addresses := make(map[identifier.VMID]string)
	for i := range 4 {
		var seeds []string
		if i > 0 {
			seeds = append(seeds, peers[0].self.Address)
		}
		p := newTestPeer(t, identifier.VMID(fmt.Sprint("vm", i)), seeds...)
		p.linker.opts.UnneededLinger = 100 * time.Millisecond
		peers = append(peers, p)
		addresses[p.self.Member.VM] = p.self.Address
	}
	awaitLinks(t, peers, vms{"vm1", "vm2", "vm3"}, vms{"vm0", "vm2", "vm3"}, vms{"vm0", "vm1", "vm3"}, vms{"vm0", "vm1", "vm2"})

	peers[0].linker.Restrict(addresses, vms{"vm1"}, false)
	peers[1].linker.Restrict(addresses, vms{"vm0"}, false)
	peers[2].linker.Restrict(addresses, vms{"vm0"}, false)
	peers[3].linker.Restrict(addresses, nil, false)
	awaitLinks(t, peers, vms{"vm1", "vm2"}, vms{"vm0"}, vms{"vm0"}, nil)
	e := peers[3].await(func(e Event) bool { _, ok := e.(PeerDown); return ok }).(PeerDown)
	if !e.Unneeded {
		t.Errorf("%+v doesn't tell that the link was unneeded", e)
	}

	peers[1].linker.Restrict(addresses, vms{"vm0", "vm3"}, false)
	peers[2].linker.Restrict(addresses, nil, false)
	awaitLinks(t, peers, vms{"vm1"}, vms{"vm0", "vm3"}, nil, vms{"vm1"})

	peers[2].linker.Restrict(addresses, nil, true)
	awaitLinks(t, peers, vms{"vm1", "vm2"}, vms{"vm0", "vm2", "vm3"}, vms{"vm0", "vm1", "vm3"}, vms{"vm1", "vm2"})
}
