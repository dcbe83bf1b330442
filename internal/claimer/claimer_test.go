package claimer

import (
	"fmt"
	"testing"
	"time"

	"github.com/peppertrack/peppertrack/internal/enroller"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func member(vm string) identifier.Member {
	return identifier.Member{VM: identifier.VMID(vm), Incarnation: 1}
}

func rosterOf(members ...identifier.Member) *enroller.Roster {
	var entries []enroller.RosterMember
	for _, m := range members {
		entries = append(entries, enroller.RosterMember{Member: m})
	}
	return enroller.NewRoster(start, "perth-a", entries)
}

// deliverAll delivers the messages among the effects, and those sent in reply,
// and returns the other effects.
func deliverAll(claimers map[identifier.Member]*Claimer, from identifier.Member, effects []Effect) (rest []Effect) {
	for _, e := range effects {
		send, ok := e.(Send)
		if !ok {
			rest = append(rest, e)
			continue
		}
		if to := claimers[send.To]; to != nil {
			replies := to.Step(start, PeerMessage{From: from, Message: send.Message})
			rest = append(rest, deliverAll(claimers, send.To, replies)...)
		}
	}
	return rest
}

func TestEachIDIsGrantedOnceAtItsHome(t *testing.T) {
	members := []identifier.Member{member("a"), member("b"), member("c")}
	claimers := map[identifier.Member]*Claimer{}
	for _, m := range members {
		claimers[m] = New(Options{Self: m, Domain: "perth-a"})
		claimers[m].Step(start, RosterAdopted{rosterOf(members...)})
	}
	for i := range 100 {
		id := identifier.SubmissionID(fmt.Sprintf("order:%d", i))
		ask := ClaimRequested{Submission: id, CreatedAt: start}
		granted, joined, forwarded := 0, 0, 0
		for range 2 {
			for _, m := range members {
				for _, e := range deliverAll(claimers, m, claimers[m].Step(start, ask)) {
					switch e := e.(type) {
					case ClaimGranted:
						granted++
					case ClaimAlreadyRunning:
						joined++
					case ClaimForwarded:
						forwarded++
						if home, _ := claimers[m].Route(id); home != e.To {
							t.Fatalf("%s: forwarded to %s, home is %s", id, e.To, home)
						}
					default:
						t.Fatalf("%s: effect %#v", id, e)
					}
				}
			}
		}
		if granted != 1 || joined != 1 || forwarded != 4 {
			t.Fatalf("%s: %d granted, %d joined, %d forwarded", id, granted, joined, forwarded)
		}
	}
}
