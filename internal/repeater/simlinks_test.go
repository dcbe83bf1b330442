package repeater

import "time"

// Links survive a cut for a while. Until then they hold the messages of their sender, and
// deliver them when the cut heals.
const (
	// simLinkTimeout is the time with the bound of peerlinker on unacknowledged data, and
	// a fifth more.
	simLinkTimeout = 1200 * time.Millisecond
	// simPingTimeout is the time with the least frequent pings alone.
	simPingTimeout = 4 * time.Second
)

// heldLink is a link that is cut and has not been given up yet.
type heldLink struct {
	cutAt    time.Time
	messages []func() // that deliver what waits, in order
}

// holdLink begins to hold the messages of a link that is cut.
func (sim *simulation) holdLink(link [2]int) {
	if sim.cfg.linksHold > 0 && sim.held[link] == nil {
		sim.held[link] = &heldLink{cutAt: sim.now}
	}
}

// releaseLink delivers what a link has held, and reports whether the link has survived.
func (sim *simulation) releaseLink(link [2]int) bool {
	h := sim.held[link]
	delete(sim.held, link)
	if h == nil || sim.now.Sub(h.cutAt) > sim.cfg.linksHold {
		return false
	}
	for i, deliver := range h.messages {
		sim.schedule(time.Millisecond+time.Duration(i)*10*time.Microsecond, deliver)
	}
	return true
}
