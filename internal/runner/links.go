package runner

import (
	"context"
	"time"

	"github.com/peppertrack/peppertrack/internal/dispatcher"
	"github.com/peppertrack/peppertrack/internal/enroller"
	"github.com/peppertrack/peppertrack/internal/peerlinker"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// findDomainsInterval is the time between two looks for failure domains to
// which no link stands.
const findDomainsInterval = 5 * time.Second

// linkEvent hands an event of the links to the duty that it belongs to. It
// waits while that duty's ring is full, which slows the peer down.
func (r *Runner) linkEvent(e peerlinker.Event) {
	switch e := e.(type) {
	case peerlinker.PeerUp:
		r.links.setUp(e.Peer)
		r.follower.PeersChanged(r.links.forKeeper())
		r.dispatchRing.put(dispatcher.PeerUp{Member: e.Peer.Member, Domain: e.Peer.Domain})
	case peerlinker.PeerDown:
		r.links.setDown(e.Peer)
		r.follower.PeersChanged(r.links.forKeeper())
		r.dispatchRing.put(dispatcher.PeerDown{Member: e.Peer.Member})
	case peerlinker.Received:
		r.received(e)
	}
}

func (r *Runner) received(e peerlinker.Received) {
	from := e.From.Member
	switch e.Message.(type) {
	case peermessenger.Heartbeat, peermessenger.RosterRequest, peermessenger.RosterReply:
		r.rosterRing.put(enroller.PeerReceived{From: from, Message: e.Message})
	case peermessenger.ProfileDigest, peermessenger.ProfilePull, peermessenger.ProfileChanges, peermessenger.ProfileBook:
		r.follower.Received(from, e.Message)
	case peermessenger.ReportQuery, peermessenger.ReportReply:
		r.inquirer.Received(from, e.Message)
	default:
		r.dispatchRing.put(dispatcher.PeerReceived{From: from, Message: e.Message})
	}
}

// findDomains reads the rosters of the failure domains to which no link stands,
// so that they are found again after a partition in which their VMs were replaced.
func (r *Runner) findDomains(ctx context.Context) error {
	ticker := time.NewTicker(findDomainsInterval)
	defer ticker.Stop()
	for {
		for _, domain := range r.opts.Settings.FailureDomains {
			if domain != r.opts.Settings.FailureDomain && !r.links.reaches(domain) {
				r.findDomain(ctx, enroller.StoreKey(domain))
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (r *Runner) findDomain(ctx context.Context, key string) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.Settings.Platform.Timeout)
	defer cancel()
	roster, _, err := readRoster(ctx, r.platform, key)
	if err != nil || roster == nil {
		return // tried again at the next interval
	}
	for _, member := range roster.Members {
		r.linker.Connect(member.Address)
	}
}
