package runner

import (
	"context"
	"time"

	"github.com/peppertrack/peppertrack/internal/dispatcher"
	"github.com/peppertrack/peppertrack/internal/enroller"
	"github.com/peppertrack/peppertrack/internal/peerlinker"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// rediscoverInterval is how often the rosters of the failure domains without a
// link are read.
const rediscoverInterval = 5 * time.Second

// handleLinkEvent passes an event of the links to the component that handles it.
// It blocks while the component's queue is full, which slows the peer down.
func (r *Runner) handleLinkEvent(e peerlinker.Event) {
	switch e := e.(type) {
	case peerlinker.PeerUp:
		r.links.setUp(e.Peer)
		r.follower.PeersChanged(r.links.keeperPeers())
		r.dispatchQueue.put(dispatcher.PeerUp{Member: e.Peer.Member, Domain: e.Peer.Domain})
	case peerlinker.PeerDown:
		r.links.setDown(e.Peer)
		r.follower.PeersChanged(r.links.keeperPeers())
		r.dispatchQueue.put(dispatcher.PeerDown{Member: e.Peer.Member})
	case peerlinker.Received:
		r.handlePeerMessage(e)
	}
}

func (r *Runner) handlePeerMessage(e peerlinker.Received) {
	from := e.From.Member
	switch e.Message.(type) {
	case peermessenger.Heartbeat, peermessenger.RosterRequest, peermessenger.RosterReply:
		r.rosterQueue.put(enroller.PeerMessage{From: from, Message: e.Message})
	case peermessenger.ProfileDigest, peermessenger.ProfilePull, peermessenger.ProfileChanges, peermessenger.ProfileBook:
		r.follower.EnqueueMessage(from, e.Message)
	case peermessenger.ReportQuery, peermessenger.ReportReply:
		r.inquirer.Receive(from, e.Message)
	default:
		r.dispatchQueue.put(dispatcher.PeerMessage{From: from, Message: e.Message})
	}
}

// rediscoverDomains reads the rosters of the failure domains without a link, so
// that they are found again after a network partition in which their VMs were
// replaced.
func (r *Runner) rediscoverDomains(ctx context.Context) error {
	ticker := time.NewTicker(rediscoverInterval)
	defer ticker.Stop()
	for {
		for _, domain := range r.opts.Settings.FailureDomains {
			if domain != r.opts.Settings.FailureDomain && !r.links.reaches(domain) {
				r.rediscoverDomain(ctx, enroller.StoreKey(domain))
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (r *Runner) rediscoverDomain(ctx context.Context, key string) {
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
