package placer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// maxLeavingQueued bounds each of the two lists of leaving backend servers to
// announce.
const maxLeavingQueued = 1024

// markLeaving stops new work on a backend server that is leaving. It reports
// whether this VM did not know that yet; if so, it queues an announcement.
func (p *Placer) markLeaving(now time.Time, b *backendState) bool {
	isNew := !b.Leaving && !now.Before(b.leavingUntil)
	b.leavingUntil = now.Add(leavingTTL)
	if isNew && len(p.leavingToSend) < maxLeavingQueued {
		p.leavingToSend = append(p.leavingToSend, b.ID)
	}
	p.reindex(now, b)
	return isNew
}

// handleBackendsLeaving marks the backend servers that a peer announced.
// Announcements from another failure domain are relayed within this one only.
func (p *Placer) handleBackendsLeaving(now time.Time, v *peer, m peermessenger.BackendsLeaving) {
	for _, id := range m.Backends {
		b, ok := p.backends[id]
		if !ok || !p.markLeaving(now, b) {
			continue
		}
		last := len(p.leavingToSend) - 1
		if last >= 0 && p.leavingToSend[last] == id {
			p.leavingToSend = p.leavingToSend[:last]
			if v.Domain != p.self.Domain && len(p.leavingToRelay) < maxLeavingQueued {
				p.leavingToRelay = append(p.leavingToRelay, id)
			}
		}
	}
}

// sendLeaving announces leaving backend servers to all VMs of this failure
// domain and to one VM of each other failure domain, which relays them there.
func (p *Placer) sendLeaving() []Effect {
	if len(p.leavingToSend)+len(p.leavingToRelay) == 0 {
		return nil
	}
	ownDomain := append(append([]identifier.BackendID(nil), p.leavingToSend...), p.leavingToRelay...)
	var effects []Effect
	sentTo := make(map[identifier.FailureDomain]bool)
	for _, v := range p.peers {
		switch {
		case v.unreachable:
		case v.Domain == p.self.Domain:
			effects = append(effects, Send{To: v.Member, Message: peermessenger.BackendsLeaving{Backends: ownDomain}})
		case len(p.leavingToSend) > 0 && !sentTo[v.Domain]:
			sentTo[v.Domain] = true
			effects = append(effects, Send{To: v.Member, Message: peermessenger.BackendsLeaving{Backends: p.leavingToSend}})
		}
	}
	p.leavingToSend, p.leavingToRelay = nil, nil
	return effects
}
