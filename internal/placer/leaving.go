package placer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// maxLeavingNews bounds the backend servers that one BackendsLeaving names.
const maxLeavingNews = 1024

// leave closes a backend server that is leaving. It reports whether that is
// news, and keeps news for the peers.
func (p *Placer) leave(now time.Time, b *backendState) bool {
	news := !b.Leaving && !now.Before(b.leavingUntil)
	b.leavingUntil = now.Add(leavingHold)
	if news && len(p.leavingNews) < maxLeavingNews {
		p.leavingNews = append(p.leavingNews, b.ID)
	}
	p.refresh(now, b)
	return news
}

// heardLeaving takes in a peer's word. News from another failure domain are
// passed on in this one.
func (p *Placer) heardLeaving(now time.Time, v *peer, m peermessenger.BackendsLeaving) {
	for _, id := range m.Backends {
		b, ok := p.backends[id]
		if !ok || !p.leave(now, b) {
			continue
		}
		last := len(p.leavingNews) - 1
		if last >= 0 && p.leavingNews[last] == id {
			p.leavingNews = p.leavingNews[:last]
			if v.Domain != p.self.Domain && len(p.leavingRelay) < maxLeavingNews {
				p.leavingRelay = append(p.leavingRelay, id)
			}
		}
	}
}

// sendLeaving tells the news to all VMs of this failure domain and to one of
// each other failure domain, which passes them on.
func (p *Placer) sendLeaving() []Effect {
	if len(p.leavingNews)+len(p.leavingRelay) == 0 {
		return nil
	}
	inside := append(append([]identifier.BackendID(nil), p.leavingNews...), p.leavingRelay...)
	var effects []Effect
	told := make(map[identifier.FailureDomain]bool)
	for _, v := range p.peers {
		switch {
		case v.lost:
		case v.Domain == p.self.Domain:
			effects = append(effects, Send{To: v.Member, Message: peermessenger.BackendsLeaving{Backends: inside}})
		case len(p.leavingNews) > 0 && !told[v.Domain]:
			told[v.Domain] = true
			effects = append(effects, Send{To: v.Member, Message: peermessenger.BackendsLeaving{Backends: p.leavingNews}})
		}
	}
	p.leavingNews, p.leavingRelay = nil, nil
	return effects
}
