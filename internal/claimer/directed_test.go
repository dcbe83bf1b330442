package claimer

import (
	"fmt"
	"testing"
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/enroller"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// rig runs claimers whose pairs are given for each epoch, with a network whose
// messages are delivered one by one.
type rig struct {
	t        *testing.T
	now      time.Time
	claimers []*Claimer
	rosters  []*enroller.Roster // from epoch 1
	queue    []rigMessage
	answers  map[int][]Effect // other than messages, by claimer
}

type rigMessage struct {
	from, to int
	message  peermessenger.Message
}

const rigID = "order:1"

// newRig makes n claimers. pairs[e-1] holds home and witness of all shards in
// epoch e; a witness of -1 stands for none.
func newRig(t *testing.T, n int, d defects, pairs ...[2]int) *rig {
	r := &rig{t: t, now: start, answers: map[int][]Effect{}}
	var entries []enroller.RosterMember
	for i := range n {
		entries = append(entries, enroller.RosterMember{Member: rigMember(i)})
	}
	r.rosters = []*enroller.Roster{enroller.NewRoster(start, worldDomain, entries)}
	for range len(pairs) - 1 {
		next, _ := r.rosters[len(r.rosters)-1].Next(start, entries, false)
		r.rosters = append(r.rosters, next)
	}
	for i := range n {
		c := New(Options{Self: rigMember(i), Domain: worldDomain, defects: d})
		for e, p := range pairs {
			c.pairs[identifier.Epoch(e+1)] = uniformTable(p)
		}
		r.claimers = append(r.claimers, c)
	}
	return r
}

func rigMember(i int) identifier.Member {
	if i < 0 {
		return identifier.Member{}
	}
	return identifier.Member{VM: identifier.VMID(fmt.Sprint("vm", i)), Incarnation: 1}
}

func uniformTable(p [2]int) *pairTable {
	var table pairTable
	for s := range table {
		table[s] = Pair{Home: rigMember(p[0]), Witness: rigMember(p[1])}
	}
	return &table
}

func (r *rig) do(i int, e Event) {
	for _, effect := range r.claimers[i].Step(r.now, e) {
		send, ok := effect.(Send)
		if !ok {
			r.answers[i] = append(r.answers[i], effect)
			continue
		}
		for j := range r.claimers {
			if rigMember(j) == send.To {
				r.queue = append(r.queue, rigMessage{i, j, send.Message})
			}
		}
	}
}

func (r *rig) adopt(epoch int, members ...int) {
	for _, i := range members {
		r.do(i, RosterAdopted{r.rosters[epoch-1]})
	}
}

func (r *rig) ask(i int, id identifier.SubmissionID) {
	r.do(i, ClaimAsked{Submission: id, CreatedAt: start})
}

// flow delivers the messages between the given claimers until there are none.
// Others stay on their way.
func (r *rig) flow(among ...int) {
	open := map[int]bool{}
	for _, i := range among {
		open[i] = true
	}
	var kept []rigMessage
	for len(r.queue) > 0 {
		m := r.queue[0]
		r.queue = r.queue[1:]
		if open[m.from] && open[m.to] {
			r.do(m.to, PeerReceived{From: rigMember(m.from), Message: m.message})
		} else {
			kept = append(kept, m)
		}
	}
	r.queue = kept
}

func (r *rig) granted() (n int) {
	for i := range r.claimers {
		for _, e := range r.answers[i] {
			if _, ok := e.(ClaimGranted); ok {
				n++
			}
		}
	}
	return n
}

func (r *rig) wantGranted(want int) {
	r.t.Helper()
	if got := r.granted(); got != want {
		r.t.Errorf("%d starts, want %d", got, want)
	}
}

// wantEnding expects the last answer of a claimer to be an ending.
func (r *rig) wantEnding(i int, want string) {
	r.t.Helper()
	got := "none"
	for _, e := range r.answers[i] {
		if denied, ok := e.(ClaimDenied); ok {
			got = describeEnding(denied.Ending)
		}
	}
	if got != want {
		r.t.Errorf("claimer %d answered %s, want %s", i, got, want)
	}
}

// wantDefect expects that the rig without defects grants once, and with the
// defect twice.
func wantDefect(t *testing.T, d defects, run func(t *testing.T, d defects) *rig) {
	t.Helper()
	run(t, defects{}).wantGranted(1)
	run(t, d).wantGranted(2)
}

func TestTakeoverClosesEveryEpoch(t *testing.T) {
	// Members 3 and 1 both inherit from epoch 1. Member 3 lets the job start in
	// epoch 2, of which member 1 knows nothing in epoch 3.
	wantDefect(t, defects{askAnyEarlierWhole: true}, func(t *testing.T, d defects) *rig {
		r := newRig(t, 4, d, [2]int{0, 1}, [2]int{3, 2}, [2]int{1, 0})
		r.adopt(1, 0, 1, 2, 3)
		r.adopt(2, 2, 3)
		r.flow(0, 2, 3)
		r.ask(3, rigID)
		r.flow(2, 3)
		r.adopt(3, 0, 1)
		r.ask(1, rigID)
		r.flow(0, 1)
		return r
	})
}

func TestTakeoverDoesNotSkipAnEpoch(t *testing.T) {
	// Member 0 learns of epoch 3 straight after epoch 1.
	wantDefect(t, defects{skipEpoch: true}, func(t *testing.T, d defects) *rig {
		r := newRig(t, 4, d, [2]int{0, 1}, [2]int{2, 3}, [2]int{0, 1})
		r.adopt(1, 0, 1, 2, 3)
		r.adopt(2, 2, 3)
		r.flow(1, 2, 3)
		r.do(2, PeerLost{rigMember(0)})
		r.do(3, PeerLost{rigMember(0)})
		r.flow(1, 2, 3)
		r.ask(2, rigID)
		r.flow(2, 3)
		r.adopt(3, 0, 1)
		r.ask(0, rigID)
		r.flow(0, 1)
		return r
	})
}

func TestWitnessRefusesAClosedEpoch(t *testing.T) {
	wantDefect(t, defects{witnessIgnoresEpoch: true}, func(t *testing.T, d defects) *rig {
		r := newRig(t, 4, d, [2]int{0, 1}, [2]int{2, 3})
		r.adopt(1, 0, 1, 2, 3)
		r.adopt(2, 2, 3)
		r.do(2, PeerLost{rigMember(0)})
		r.do(3, PeerLost{rigMember(0)})
		r.flow(1, 2, 3)
		r.ask(2, rigID)
		r.flow(2, 3)
		r.ask(0, rigID)
		r.flow(0, 1)
		return r
	})
}

func TestHomeStartsNothingInAClosedEpoch(t *testing.T) {
	wantDefect(t, defects{homeIgnoresEpoch: true}, func(t *testing.T, d defects) *rig {
		r := newRig(t, 4, d, [2]int{0, 1}, [2]int{2, 3})
		r.adopt(1, 0, 1, 2, 3)
		r.ask(0, rigID)
		r.adopt(2, 2, 3)
		r.flow(0, 2, 3) // member 0 hands its records over, without the claim
		r.ask(2, rigID)
		r.flow(2, 3)
		r.flow(0, 1) // and then learns that its witness had recorded it
		return r
	})
}

func TestRunnerPromisesBeforeItsVow(t *testing.T) {
	wantDefect(t, defects{vowWithoutPromise: true}, func(t *testing.T, d defects) *rig {
		r := newRig(t, 4, d, [2]int{0, 1}, [2]int{2, 3})
		r.adopt(1, 0, 1, 2, 3)
		r.ask(0, rigID)
		r.do(1, PeerReceived{From: rigMember(0), Message: r.queue[0].message})
		r.queue = nil // the answer of the witness is on its way
		ack := peermessenger.ClaimRecorded{Epoch: 1, Claim: peermessenger.ClaimRef{Submission: rigID, Serial: 1}}
		r.adopt(2, 2, 3)
		r.do(2, PeerLost{rigMember(0)})
		r.do(3, PeerLost{rigMember(0)})
		r.queue = dropTo(r.queue, 0)
		r.flow(1, 2, 3)
		r.ask(2, rigID)
		r.flow(0, 2, 3)
		r.do(0, PeerReceived{From: rigMember(1), Message: ack})
		return r
	})
}

func dropTo(queue []rigMessage, to int) (kept []rigMessage) {
	for _, m := range queue {
		if m.to != to {
			kept = append(kept, m)
		}
	}
	return kept
}

func TestKeptEndingIsConfirmedByTheWitness(t *testing.T) {
	// The runner 0 dies after member 1 alone has received its ending. Member 1 is
	// the home of epoch 2; its witness 2 has moved on to epoch 3 with member 3.
	run := func(d defects) *rig {
		r := newRig(t, 4, d, [2]int{0, 2}, [2]int{1, 2}, [2]int{3, 2})
		r.adopt(1, 0, 1, 2, 3)
		r.ask(0, rigID)
		r.flow(0, 2)
		r.adopt(2, 0, 1, 2)
		r.flow(0, 1, 2)
		r.do(0, JobEnded{Submission: rigID, Ending: declarer.Complete{Outputs: [][]byte{{1}}}})
		r.do(0, Tick{})
		r.flow(0, 1)
		r.queue = nil
		for i := 1; i < 4; i++ {
			r.do(i, GoneProved{rigMember(0)})
		}
		r.do(3, PeerLost{rigMember(1)})
		r.adopt(3, 2, 3)
		r.flow(2, 3)
		r.ask(3, rigID)
		r.flow(2, 3)
		r.wantEnding(3, "failed, runnerLost")
		r.ask(1, rigID)
		r.flow(1, 2)
		return r
	}
	run(defects{}).wantEnding(1, "none")
	run(defects{unconfirmedEnding: true}).wantEnding(1, "complete")
}

func TestMessagesOfAnEpochArriveTwoEpochsLater(t *testing.T) {
	r := newRig(t, 2, defects{}, [2]int{0, 1}, [2]int{1, 0}, [2]int{0, 1})
	r.adopt(1, 0, 1)
	r.ask(0, rigID)
	claim := r.queue[0]
	r.queue = nil
	ack := peermessenger.ClaimRecorded{Epoch: 1, Claim: peermessenger.ClaimRef{Submission: rigID, Serial: 1}}
	r.adopt(3, 0, 1)
	r.queue = nil // the claim that is made anew in epoch 3
	r.do(0, PeerReceived{From: rigMember(1), Message: ack})
	r.wantGranted(0)
	r.do(1, PeerReceived{From: rigMember(0), Message: claim.message})
	if m, ok := r.queue[0].message.(peermessenger.ClaimNotRecorded); !ok || m.Cause != peermessenger.EpochClosed {
		t.Errorf("witness answered %#v", r.queue[0].message)
	}
}

func TestWitnessIsHomeForItsHome(t *testing.T) {
	r := newRig(t, 2, defects{}, [2]int{0, 1})
	const other = "order:2"
	for _, c := range r.claimers {
		c.pairs[1][shardOf(other)] = Pair{Home: rigMember(1), Witness: rigMember(0)}
	}
	if shardOf(other) == shardOf(rigID) {
		t.Fatal("both ids are in one shard")
	}
	r.adopt(1, 0, 1)
	r.ask(0, rigID)
	r.ask(1, other)
	r.flow(0, 1)
	r.wantGranted(2)
}

func TestSingleMember(t *testing.T) {
	r := newRig(t, 2, defects{}, [2]int{0, -1}, [2]int{1, -1})
	r.adopt(1, 0)
	r.ask(0, rigID)
	r.wantGranted(1)
	r.adopt(2, 1)
	r.ask(1, rigID)
	r.now = r.now.Add(DefaultClaimTimeout)
	r.do(1, Tick{})
	r.wantEnding(1, "unverifiable, homeUnreachable")
	r.do(1, GoneProved{rigMember(0)})
	r.ask(1, rigID)
	r.wantEnding(1, "unverifiable, recordsLost")
	r.now = r.now.Add(time.Minute)
	r.do(1, ClaimAsked{Submission: "order:2", CreatedAt: r.now})
	r.wantGranted(2)
	r.now = start.Add(DefaultRetention + time.Second)
	r.ask(1, rigID)
	r.wantEnding(1, "unverifiable, recordExpired")
}

// replaceFast replaces the members of the pair one after another, before the
// records have moved. The record of the start is known to members 0 and 1.
func replaceFast(t *testing.T) *rig {
	r := newRig(t, 5, defects{}, [2]int{0, 1}, [2]int{1, 2}, [2]int{2, 3}, [2]int{3, 4})
	r.adopt(1, 0, 1, 2, 3, 4)
	r.ask(0, rigID)
	r.flow(0, 1)
	r.adopt(2, 1, 2)
	r.adopt(3, 2, 3)
	r.adopt(4, 3, 4)
	r.ask(3, rigID)
	r.flow(2, 3, 4)
	r.wantGranted(1)
	for i := 2; i < 5; i++ {
		r.do(i, GoneProved{rigMember(0)})
	}
	r.flow(2, 3, 4)
	r.wantEnding(3, "none")
	return r
}

func TestMembersReplacedFasterThanRecordsMove(t *testing.T) {
	r := replaceFast(t)
	r.flow(1, 2, 3, 4)
	r.wantEnding(3, "failed, runnerLost")
	r.wantGranted(1)

	r = replaceFast(t)
	for i := 2; i < 5; i++ {
		r.do(i, GoneProved{rigMember(1)})
	}
	r.flow(2, 3, 4)
	r.wantEnding(3, "unverifiable, recordsLost")
	r.wantGranted(1)
}

func TestFullTableRefusesOnTheWordOfTheWitness(t *testing.T) {
	for name, full := range map[string]int{"home": 0, "witness": 1} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 2, defects{}, [2]int{0, 1})
			r.claimers[full].opts.MaxRecords = 1
			r.adopt(1, 0, 1)
			r.ask(0, rigID)
			r.flow(0, 1)
			r.ask(0, "order:2")
			r.wantEnding(0, "none")
			r.flow(0, 1)
			r.wantEnding(0, "refused, noCapacity")
			r.ask(0, rigID)
			r.wantGranted(1)

			r.ask(0, "order:3")
			r.queue = nil // the witness is silent: a later pair may have started it
			r.now = r.now.Add(DefaultClaimTimeout)
			r.do(0, Tick{})
			r.wantEnding(0, "unverifiable, homeUnreachable")
		})
	}
}

func TestEarliestEndingsGiveWay(t *testing.T) {
	r := newRig(t, 1, defects{}, [2]int{0, -1})
	r.claimers[0].records.maxEndings = 300
	r.adopt(1, 0)
	for _, id := range []identifier.SubmissionID{"order:1", "order:2", "order:3"} {
		r.ask(0, id)
		r.do(0, JobEnded{Submission: id, Ending: declarer.Complete{Outputs: [][]byte{make([]byte, 100)}}})
	}
	r.ask(0, "order:1")
	r.wantEnding(0, "unverifiable, answerLost")
	r.ask(0, "order:3")
	r.wantEnding(0, "complete")
	r.wantGranted(3)
}

func TestJobOlderThanItsRecordDoesNotHoldTheDrain(t *testing.T) {
	r := newRig(t, 1, defects{}, [2]int{0, -1})
	r.adopt(1, 0)
	r.ask(0, rigID)
	r.do(0, DrainAsked{})
	r.now = r.now.Add(2 * DefaultRetention)
	r.do(0, Tick{})
	if _, ok := r.claimers[0].Find(rigID); ok {
		t.Error("the record is still kept")
	}
	r.do(0, JobEnded{Submission: rigID, Ending: declarer.Complete{}})
	if last := r.answers[0][len(r.answers[0])-1]; last != (Drained{}) {
		t.Errorf("last effect %#v", last)
	}
}

func TestFetchThatIsNotNeededEnds(t *testing.T) {
	r := newRig(t, 4, defects{}, [2]int{0, 1}, [2]int{2, 3})
	r.adopt(1, 0, 1, 2, 3)
	r.adopt(2, 2, 3)
	r.do(2, PeerLost{rigMember(0)})
	r.flow(1, 2, 3)
	if got := r.claimers[2].Stats().WholeShards; got != ShardCount {
		t.Errorf("whole for %d shards", got)
	}
	r.queue = nil
	r.now = r.now.Add(time.Minute)
	r.do(2, Tick{})
	if len(r.queue) != 0 {
		t.Errorf("still sends %#v", r.queue)
	}
}
