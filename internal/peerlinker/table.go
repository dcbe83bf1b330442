package peerlinker

import (
	"bytes"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// shareTable tells linked peers of each other, at intervals.
func (l *Linker) shareTable() error {
	ticker := time.NewTicker(tableInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return nil
		case <-ticker.C:
			l.sendTable()
		}
	}
}

// sendTable sends the table to the peers that have not had it.
func (l *Linker) sendTable() {
	table, sessions := l.table()
	data, ok := l.encode(table)
	if !ok {
		return
	}
	for _, s := range sessions {
		if bytes.Equal(s.sentTable, data) {
			continue
		}
		if s.send(data) {
			s.sentTable = data
		}
	}
}

func (l *Linker) table() (peermessenger.PeerTable, []*session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	table := peermessenger.PeerTable{}
	sessions := make([]*session, 0, len(l.up))
	for vm, s := range l.up {
		table.Peers = append(table.Peers, l.known[vm])
		sessions = append(sessions, s)
	}
	slices.SortFunc(table.Peers, func(a, b peermessenger.PeerAddress) int {
		return strings.Compare(a.Address, b.Address)
	})
	return table, sessions
}

// learn connects to the peers of another's table.
func (l *Linker) learn(table peermessenger.PeerTable) {
	if len(table.Peers) > maxLinks {
		return
	}
	for _, p := range table.Peers {
		if _, err := netip.ParseAddrPort(p.Address); err != nil {
			continue
		}
		l.Connect(p.Address)
	}
}
