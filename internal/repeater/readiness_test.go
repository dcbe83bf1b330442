package repeater

import (
	"slices"
	"testing"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// starter is a VM that starts alone, and the servers that answer it.
type starter struct {
	machine *Machine
	now     time.Time
	answers map[identifier.BackendID]bool // servers that answer polls
	open    []Poll
}

func newStarter(servers ...identifier.BackendID) *starter {
	s := &starter{now: time.UnixMilli(1_700_000_000_000), answers: make(map[identifier.BackendID]bool)}
	self := identifier.Member{VM: "vm-0", Incarnation: 1}
	s.machine = New(s.now, Options{Self: self, Domain: "domain", Weight: 400, Bounds: Bounds{LongestLease: simLease, ResendDelay: simResendDelay}})
	var list []Server
	for _, id := range servers {
		list = append(list, Server{ID: id, Pool: simPool, Domain: "domain", Cores: simCores, Memory: 65536})
	}
	routes := &simRoutes{sim: &simulation{}, version: 1}
	s.step(RoutesChanged{Table: routes.table()})
	s.step(ServersChanged{Revision: 1, Servers: list})
	s.step(VMsListed{VMs: []ListedVM{{ID: self.VM, Domain: "domain", Weight: 400}}})
	return s
}

func (s *starter) step(e Event) {
	for _, effect := range s.machine.Step(s.now, e) {
		if p, ok := effect.(Poll); ok {
			s.open = append(s.open, p)
		}
	}
}

// run lets time pass. Servers that answer do so before the next tick; the polls of others
// time out.
func (s *starter) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(simTick)
		open := s.open
		s.open = nil
		for _, p := range open {
			switch {
			case s.answers[p.Server.ID]:
				s.step(PollAnswered{Call: p.Call, Result: PollResult{Status: PollOK}, Clock: ServerClock{Known: true, Now: ServerTime(time.Hour), Generation: 1}})
			default:
				s.open = append(s.open, p)
			}
		}
		s.step(Ticked{})
	}
}

// TestNewVMIsNotReadyBeforeItKnowsItsRoom guards against a VM that reports that it is ready
// once its first server answers, and refuses jobs that all of its servers have room for.
func TestNewVMIsNotReadyBeforeItKnowsItsRoom(t *testing.T) {
	s := newStarter("s-0", "s-1", "s-2")
	s.answers["s-0"] = true
	s.run(200 * time.Millisecond)
	if s.machine.ready() {
		t.Error("the VM is ready while two of its three servers are about to answer")
	}
	s.answers["s-1"], s.answers["s-2"] = true, true
	s.run(100 * time.Millisecond)
	if !s.machine.ready() {
		t.Error("the VM isn't ready although all of its servers have answered")
	}
	job := Job{ID: "job", Route: simRoute(), Version: 1, Tasks: 6, Cores: 14000, Memory: 64, Estimate: 100 * time.Millisecond, Budget: time.Second}
	effects := s.machine.Step(s.now, JobSubmitted{Request: 1, Job: job})
	if slices.ContainsFunc(effects, func(e Effect) bool { _, ok := e.(Reply); return ok }) {
		t.Error("a job is refused that there is room for")
	}
}

// TestNewVMIsReadyDespiteSilentServers guards against a VM that is never ready because a
// server doesn't answer.
func TestNewVMIsReadyDespiteSilentServers(t *testing.T) {
	s := newStarter("s-0", "s-1")
	s.answers["s-0"] = true
	s.run(settleTime + simTick)
	if !s.machine.ready() {
		t.Errorf("the VM isn't ready %v after its start", settleTime)
	}
}
