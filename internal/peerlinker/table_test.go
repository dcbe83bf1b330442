package peerlinker

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// TestTablesOfALargeFleet guards against a peer table to every peer in each round while
// the fleet changes, and checks that all peers get the table in time.
func TestTablesOfALargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const peers = 146
		l := New(Options{Self: Peer{Member: identifier.Member{VM: "vm-0"}}, Handle: func(Event) {}, Logger: log.NewNopLogger()})
		add := func(i int) *session {
			peer := Peer{Member: identifier.Member{VM: identifier.VMID(fmt.Sprintf("vm-%d", i))}, Address: fmt.Sprintf("10.0.0.%d:1", i)}
			s := newSession(l, nil, nil, peer)
			l.sessions[peer.Member.VM] = s
			l.addresses[peer.Member.VM] = peermessenger.PeerAddress{VM: peer.Member.VM, Address: peer.Address}
			return s
		}
		var sessions []*session
		for i := range peers {
			sessions = append(sessions, add(i+1))
		}
		total := make(map[*session]int)
		for round := 0; round*maxTablesPerInterval < peers; round++ {
			l.sendTable()
			sent := 0
			for _, s := range sessions {
				messages, _ := s.outbox.take()
				sent += len(messages)
				total[s] += len(messages)
			}
			if sent > maxTablesPerInterval {
				t.Errorf("round %d: %d tables are sent; %d is the bound", round, sent, maxTablesPerInterval)
			}
			time.Sleep(tableInterval)
			delete(l.sessions, sessions[0].peer.Member.VM) // the table changes between two rounds
			sessions = append(sessions[1:], add(peers+round+1))
		}
		for _, s := range sessions[:peers-peers/maxTablesPerInterval-1] {
			if total[s] == 0 {
				t.Errorf("%s got no table in %d rounds", s.peer.Member.VM, peers/maxTablesPerInterval+1)
			}
		}
	})
}
