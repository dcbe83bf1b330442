package peerlinker

import (
	"bytes"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// shareTable sends the peer table to the peers with a session at intervals, and drops
// the links that nobody needs.
func (l *Linker) shareTable() error {
	ticker := time.NewTicker(tableInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return nil
		case <-ticker.C:
			l.reviewLinks()
			l.sendTable()
		}
	}
}

// sendTable sends the table to peers to which it has not been sent yet: at most
// maxTablesPerInterval, those first that have waited the longest. While a large fleet
// starts, the table changes all the time, and a peer learns it from others, too.
func (l *Linker) sendTable() {
	table, sessions := l.table()
	data, ok := l.encode(table)
	if !ok {
		return
	}
	sessions = slices.DeleteFunc(sessions, func(s *session) bool { return bytes.Equal(s.sentTable, data) })
	slices.SortFunc(sessions, func(a, b *session) int { return a.tableSentAt.Compare(b.tableSentAt) })
	for _, s := range sessions[:min(len(sessions), maxTablesPerInterval)] {
		if s.send(data) {
			s.sentTable, s.tableSentAt = data, time.Now()
		}
	}
}

// table returns the table of the peers with a session, sorted by address, and their
// sessions.
func (l *Linker) table() (peermessenger.PeerTable, []*session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	table := peermessenger.PeerTable{}
	sessions := make([]*session, 0, len(l.sessions))
	for vm, s := range l.sessions {
		table.Peers = append(table.Peers, l.addresses[vm])
		sessions = append(sessions, s)
	}
	slices.SortFunc(table.Peers, func(a, b peermessenger.PeerAddress) int {
		return strings.Compare(a.Address, b.Address)
	})
	return table, sessions
}

// connectPeers connects to the peers of a received table.
func (l *Linker) connectPeers(table peermessenger.PeerTable) {
	if len(table.Peers) > maxLinks {
		return
	}
	for _, p := range table.Peers {
		if _, err := netip.ParseAddrPort(p.Address); err != nil {
			continue
		}
		if l.keeps(p.VM) {
			l.Connect(p.Address)
		}
	}
}
