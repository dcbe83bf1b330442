package peerlinker

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// incoming is an incoming connection.
type incoming struct{ needed bool } // whether the peer needs the link to it

// Restrict makes the Linker keep links only to the VMs that are needed here and to those
// that need a link to this VM. It connects to the needed ones among those listed, by
// their addresses. With all set, it keeps links to all VMs that it learns of.
func (l *Linker) Restrict(listed map[identifier.VMID]string, needed []identifier.VMID, all bool) {
	set := make(map[identifier.VMID]bool, len(needed))
	for _, vm := range needed {
		set[vm] = true
	}
	if all {
		set = nil
	}
	l.mu.Lock()
	l.listed, l.needed = listed, set
	sessions := make([]*session, 0, len(l.sessions))
	for _, s := range l.sessions {
		sessions = append(sessions, s)
	}
	l.mu.Unlock()
	for _, s := range sessions {
		l.tellNeed(s)
	}
	l.reviewLinks()
}

// keeps reports whether a link to a VM is kept.
func (l *Linker) keeps(vm identifier.VMID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keepsLocked(vm)
}

func (l *Linker) keepsLocked(vm identifier.VMID) bool {
	in := l.incoming[vm]
	return l.needed == nil || l.needed[vm] || in != nil && in.needed
}

// tellNeed tells the peer of a session whether this VM needs the link, if that has
// changed.
func (l *Linker) tellNeed(s *session) {
	l.mu.Lock()
	needed := l.needed == nil || l.needed[s.peer.Member.VM]
	changed := needed == s.toldUnneeded
	s.toldUnneeded = !needed
	l.mu.Unlock()
	if !changed {
		return
	}
	if data, ok := l.encode(peermessenger.LinkNeed{Needed: needed}); ok {
		s.send(data)
	}
}

// reviewLinks connects to the listed VMs that are needed, and drops the links that have
// been unneeded for Options.UnneededLinger.
func (l *Linker) reviewLinks() {
	now := time.Now()
	var missing []string
	l.mu.Lock()
	for vm, address := range l.listed {
		if l.links[address] == nil && l.keepsLocked(vm) {
			missing = append(missing, address)
		}
	}
	for _, k := range l.links {
		switch {
		case k.vm == "" || l.keepsLocked(k.vm):
			k.unneededSince = time.Time{}
		case k.unneededSince.IsZero():
			k.unneededSince = now
		case now.Sub(k.unneededSince) >= l.opts.UnneededLinger:
			l.dropLocked(k)
		}
	}
	l.mu.Unlock()
	for _, address := range missing {
		l.Connect(address)
	}
}

// dropLocked ends a link. As with any other end of a session, what the peer has not
// received is lost.
func (l *Linker) dropLocked(k *link) {
	k.dropped = true
	l.forgetLocked(k)
	k.cancel()
}

func (l *Linker) addIncoming(peer Peer) *incoming {
	in := &incoming{needed: true}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.incoming[peer.Member.VM] = in
	return in
}

func (l *Linker) removeIncoming(peer Peer, in *incoming) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.incoming[peer.Member.VM] == in {
		delete(l.incoming, peer.Member.VM)
	}
}

// setPeerNeeds records whether a peer needs the link to it.
func (l *Linker) setPeerNeeds(peer Peer, needed bool) {
	l.mu.Lock()
	if in := l.incoming[peer.Member.VM]; in != nil {
		in.needed = needed
	}
	l.mu.Unlock()
	if needed {
		l.ensureLink(peer)
	}
}
