package repeater

import (
	"testing"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// TestPausedOwnerGivesUpRuns guards against an owner that extends the lease of a run
// after a pause in which the run's home may have started the task elsewhere.
func TestPausedOwnerGivesUpRuns(t *testing.T) {
	const server, pause = identifier.BackendID("s-1"), 300 * time.Millisecond
	home := identifier.Member{VM: "home", Incarnation: 1}
	run := identifier.RunRef{Task: identifier.TaskRef{Submission: "job"}, JobRun: 1, Number: 1}
	now := time.UnixMilli(1_700_000_000_000)
	clock := func() ServerClock {
		return ServerClock{Known: true, Now: ServerTime(now.UnixNano()), Generation: 1}
	}
	m := New(now, Options{Self: identifier.Member{VM: "owner", Incarnation: 1}, Weight: 100, Bounds: Bounds{LongestLease: simLease}})
	var open Poll
	stopped := false
	step := func(e Event) {
		for _, effect := range append([]Effect(nil), m.Step(now, e)...) {
			switch effect := effect.(type) {
			case Poll:
				open = effect
			case StopRun:
				stopped = stopped || effect.Run == run
			}
		}
	}
	answer := func() {
		step(PollAnswered{Call: open.Call, Clock: clock(), Result: PollResult{Status: PollOK, Active: []ActiveRun{{Run: run.OnServer()}}}})
	}
	step(ServersChanged{Revision: 1, Servers: []Server{{ID: server, Pool: simPool, Cores: simCores, Memory: 1 << 16}}})
	now = now.Add(startupGrace)
	step(Ticked{})
	step(PollAnswered{Call: open.Call, Clock: clock(), Result: PollResult{Status: PollOK}})
	step(PeerLinked{Peer: home})
	step(PeerMessage{From: home, Message: peermessenger.RunTask{Run: run, Pool: simPool, Millicores: 1000, Estimate: time.Minute}})
	step(StartAnswered{Call: m.lastCall, Clock: clock(), Result: StartAccepted})
	answer()
	if open.Expires == 0 {
		t.Fatal("the run's lease isn't extended before the pause")
	}
	waiting := open
	now = now.Add(pause)
	step(Resumed{Gap: pause})
	step(PeerMessage{From: home, Message: peermessenger.LoadReport{Sequence: 1}}) // sent before the home gave the task up
	open = waiting
	answer()
	if !stopped {
		t.Error("the run isn't stopped")
	}
	for range 5 {
		if open.Expires != 0 {
			t.Fatal("the lease is extended while the run may still be there")
		}
		now = now.Add(simTick)
		step(Ticked{})
		answer()
	}
}
