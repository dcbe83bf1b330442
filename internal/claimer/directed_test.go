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

// harness runs claimers whose pairs are given for each epoch. Its network
// delivers messages one by one.
type harness struct {
	t        *testing.T
	now      time.Time
	claimers []*Claimer
	rosters  []*enroller.Roster // from epoch 1
	queue    []harnessMessage
	answers  map[int][]Effect // effects other than messages, by claimer
}

type harnessMessage struct {
	from, to int
	message  peermessenger.Message
}

const harnessID = "order:1"

// newHarness makes n claimers. pairs[e-1] holds the home and the witness of all
// shards in epoch e; a witness of -1 means none.
func newHarness(t *testing.T, n int, d defects, pairs ...[2]int) *harness {
	r := &harness{t: t, now: start, answers: map[int][]Effect{}}
	var entries []enroller.RosterMember
	for i := range n {
		entries = append(entries, enroller.RosterMember{Member: harnessMember(i)})
	}
	r.rosters = []*enroller.Roster{enroller.NewRoster(start, testDomain, entries)}
	for range len(pairs) - 1 {
		next, _ := r.rosters[len(r.rosters)-1].Next(start, entries, false)
		r.rosters = append(r.rosters, next)
	}
	for i := range n {
		c := New(Options{Self: harnessMember(i), Domain: testDomain, defects: d})
		for e, p := range pairs {
			c.pairs[identifier.Epoch(e+1)] = uniformTable(p)
		}
		r.claimers = append(r.claimers, c)
	}
	return r
}

func harnessMember(i int) identifier.Member {
	if i < 0 {
		return identifier.Member{}
	}
	return identifier.Member{VM: identifier.VMID(fmt.Sprint("vm", i)), Incarnation: 1}
}

func uniformTable(p [2]int) *pairTable {
	var table pairTable
	for s := range table {
		table[s] = Pair{Home: harnessMember(p[0]), Witness: harnessMember(p[1])}
	}
	return &table
}

func (r *harness) step(i int, e Event) {
	for _, effect := range r.claimers[i].Step(r.now, e) {
		send, ok := effect.(Send)
		if !ok {
			r.answers[i] = append(r.answers[i], effect)
			continue
		}
		for j := range r.claimers {
			if harnessMember(j) == send.To {
				r.queue = append(r.queue, harnessMessage{i, j, send.Message})
			}
		}
	}
}

func (r *harness) adopt(epoch int, members ...int) {
	for _, i := range members {
		r.step(i, RosterAdopted{r.rosters[epoch-1]})
	}
}

func (r *harness) ask(i int, id identifier.SubmissionID) {
	r.step(i, ClaimAsked{Submission: id, CreatedAt: start})
}

// deliver delivers the messages between the given claimers until there are
// none. Other messages stay in flight.
func (r *harness) deliver(among ...int) {
	open := map[int]bool{}
	for _, i := range among {
		open[i] = true
	}
	var kept []harnessMessage
	for len(r.queue) > 0 {
		m := r.queue[0]
		r.queue = r.queue[1:]
		if open[m.from] && open[m.to] {
			r.step(m.to, PeerReceived{From: harnessMember(m.from), Message: m.message})
		} else {
			kept = append(kept, m)
		}
	}
	r.queue = kept
}

func (r *harness) granted() (n int) {
	for i := range r.claimers {
		for _, e := range r.answers[i] {
			if _, ok := e.(ClaimGranted); ok {
				n++
			}
		}
	}
	return n
}

func (r *harness) wantGranted(want int) {
	r.t.Helper()
	if got := r.granted(); got != want {
		r.t.Errorf("%d starts, want %d", got, want)
	}
}

// wantEnding checks the last ending that a claimer answered.
func (r *harness) wantEnding(i int, want string) {
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

// wantDefectFound checks that the run grants once without defects and twice
// with the defect.
func wantDefectFound(t *testing.T, d defects, run func(t *testing.T, d defects) *harness) {
	t.Helper()
	run(t, defects{}).wantGranted(1)
	run(t, d).wantGranted(2)
}

func TestTakeoverClosesEveryEpoch(t *testing.T) {
	// Members 3 and 1 both take over from epoch 1. Member 3 starts the job in
	// epoch 2, and member 1 does not know of this in epoch 3.
	wantDefectFound(t, defects{skipToAnyCaughtUp: true}, func(t *testing.T, d defects) *harness {
		r := newHarness(t, 4, d, [2]int{0, 1}, [2]int{3, 2}, [2]int{1, 0})
		r.adopt(1, 0, 1, 2, 3)
		r.adopt(2, 2, 3)
		r.deliver(0, 2, 3)
		r.ask(3, harnessID)
		r.deliver(2, 3)
		r.adopt(3, 0, 1)
		r.ask(1, harnessID)
		r.deliver(0, 1)
		return r
	})
}

func TestTakeoverSkipsNoEpoch(t *testing.T) {
	// Member 0 adopts epoch 3 directly after epoch 1 and never sees epoch 2.
	wantDefectFound(t, defects{skipEpoch: true}, func(t *testing.T, d defects) *harness {
		r := newHarness(t, 4, d, [2]int{0, 1}, [2]int{2, 3}, [2]int{0, 1})
		r.adopt(1, 0, 1, 2, 3)
		r.adopt(2, 2, 3)
		r.deliver(1, 2, 3)
		r.step(2, PeerLost{harnessMember(0)})
		r.step(3, PeerLost{harnessMember(0)})
		r.deliver(1, 2, 3)
		r.ask(2, harnessID)
		r.deliver(2, 3)
		r.adopt(3, 0, 1)
		r.ask(0, harnessID)
		r.deliver(0, 1)
		return r
	})
}

func TestWitnessRefusesClaimInClosedEpoch(t *testing.T) {
	wantDefectFound(t, defects{witnessIgnoresEpoch: true}, func(t *testing.T, d defects) *harness {
		r := newHarness(t, 4, d, [2]int{0, 1}, [2]int{2, 3})
		r.adopt(1, 0, 1, 2, 3)
		r.adopt(2, 2, 3)
		r.step(2, PeerLost{harnessMember(0)})
		r.step(3, PeerLost{harnessMember(0)})
		r.deliver(1, 2, 3)
		r.ask(2, harnessID)
		r.deliver(2, 3)
		r.ask(0, harnessID)
		r.deliver(0, 1)
		return r
	})
}

func TestHomeStartsNoJobInClosedEpoch(t *testing.T) {
	wantDefectFound(t, defects{homeIgnoresEpoch: true}, func(t *testing.T, d defects) *harness {
		r := newHarness(t, 4, d, [2]int{0, 1}, [2]int{2, 3})
		r.adopt(1, 0, 1, 2, 3)
		r.ask(0, harnessID)
		r.adopt(2, 2, 3)
		r.deliver(0, 2, 3) // member 0 sends its records, without the claim
		r.ask(2, harnessID)
		r.deliver(2, 3)
		r.deliver(0, 1) // and then learns that its witness has recorded the claim
		return r
	})
}

func TestRunnerPromisesEpochBeforeAnsweringQuery(t *testing.T) {
	wantDefectFound(t, defects{answerQueryWithoutPromise: true}, func(t *testing.T, d defects) *harness {
		r := newHarness(t, 4, d, [2]int{0, 1}, [2]int{2, 3})
		r.adopt(1, 0, 1, 2, 3)
		r.ask(0, harnessID)
		r.step(1, PeerReceived{From: harnessMember(0), Message: r.queue[0].message})
		r.queue = nil // the answer of the witness is still in flight
		ack := peermessenger.ClaimRecorded{Epoch: 1, Claim: peermessenger.ClaimRef{Submission: harnessID, Serial: 1}}
		r.adopt(2, 2, 3)
		r.step(2, PeerLost{harnessMember(0)})
		r.step(3, PeerLost{harnessMember(0)})
		r.queue = dropTo(r.queue, 0)
		r.deliver(1, 2, 3)
		r.ask(2, harnessID)
		r.deliver(0, 2, 3)
		r.step(0, PeerReceived{From: harnessMember(1), Message: ack})
		return r
	})
}

func dropTo(queue []harnessMessage, to int) (kept []harnessMessage) {
	for _, m := range queue {
		if m.to != to {
			kept = append(kept, m)
		}
	}
	return kept
}

func TestKeptEndingIsConfirmedByTheWitness(t *testing.T) {
	// Runner 0 dies after only member 1 has received its ending. Member 1 is the
	// home in epoch 2; its witness 2 is already in epoch 3 with member 3.
	run := func(d defects) *harness {
		r := newHarness(t, 4, d, [2]int{0, 2}, [2]int{1, 2}, [2]int{3, 2})
		r.adopt(1, 0, 1, 2, 3)
		r.ask(0, harnessID)
		r.deliver(0, 2)
		r.adopt(2, 0, 1, 2)
		r.deliver(0, 1, 2)
		r.step(0, JobEnded{Submission: harnessID, Ending: declarer.Complete{Outputs: [][]byte{{1}}}})
		r.step(0, Tick{})
		r.deliver(0, 1)
		r.queue = nil
		for i := 1; i < 4; i++ {
			r.step(i, GoneProved{harnessMember(0)})
		}
		r.step(3, PeerLost{harnessMember(1)})
		r.adopt(3, 2, 3)
		r.deliver(2, 3)
		r.ask(3, harnessID)
		r.deliver(2, 3)
		r.wantEnding(3, "failed, runnerLost")
		r.ask(1, harnessID)
		r.deliver(1, 2)
		return r
	}
	run(defects{}).wantEnding(1, "none")
	run(defects{unconfirmedEnding: true}).wantEnding(1, "complete")
}

func TestMessagesOfAnEpochArriveTwoEpochsLater(t *testing.T) {
	r := newHarness(t, 2, defects{}, [2]int{0, 1}, [2]int{1, 0}, [2]int{0, 1})
	r.adopt(1, 0, 1)
	r.ask(0, harnessID)
	claim := r.queue[0]
	r.queue = nil
	ack := peermessenger.ClaimRecorded{Epoch: 1, Claim: peermessenger.ClaimRef{Submission: harnessID, Serial: 1}}
	r.adopt(3, 0, 1)
	r.queue = nil // the claim that is repeated in epoch 3
	r.step(0, PeerReceived{From: harnessMember(1), Message: ack})
	r.wantGranted(0)
	r.step(1, PeerReceived{From: harnessMember(0), Message: claim.message})
	if m, ok := r.queue[0].message.(peermessenger.ClaimNotRecorded); !ok || m.Cause != peermessenger.EpochClosed {
		t.Errorf("witness answered %#v", r.queue[0].message)
	}
}

func TestTwoMembersAreWitnessForEachOther(t *testing.T) {
	r := newHarness(t, 2, defects{}, [2]int{0, 1})
	const other = "order:2"
	for _, c := range r.claimers {
		c.pairs[1][shardOf(other)] = Pair{Home: harnessMember(1), Witness: harnessMember(0)}
	}
	if shardOf(other) == shardOf(harnessID) {
		t.Fatal("both ids are in one shard")
	}
	r.adopt(1, 0, 1)
	r.ask(0, harnessID)
	r.ask(1, other)
	r.deliver(0, 1)
	r.wantGranted(2)
}

func TestSingleMember(t *testing.T) {
	r := newHarness(t, 2, defects{}, [2]int{0, -1}, [2]int{1, -1})
	r.adopt(1, 0)
	r.ask(0, harnessID)
	r.wantGranted(1)
	r.adopt(2, 1)
	r.ask(1, harnessID)
	r.now = r.now.Add(DefaultClaimTimeout)
	r.step(1, Tick{})
	r.wantEnding(1, "unverifiable, homeUnreachable")
	r.step(1, GoneProved{harnessMember(0)})
	r.ask(1, harnessID)
	r.wantEnding(1, "unverifiable, recordsLost")
	r.now = r.now.Add(time.Minute)
	r.step(1, ClaimAsked{Submission: "order:2", CreatedAt: r.now})
	r.wantGranted(2)
	r.now = start.Add(DefaultRetention + time.Second)
	r.ask(1, harnessID)
	r.wantEnding(1, "unverifiable, recordExpired")
}

// replaceFast replaces the members of the pair one after another before the
// records have moved. Only members 0 and 1 know the record of the start.
func replaceFast(t *testing.T) *harness {
	r := newHarness(t, 5, defects{}, [2]int{0, 1}, [2]int{1, 2}, [2]int{2, 3}, [2]int{3, 4})
	r.adopt(1, 0, 1, 2, 3, 4)
	r.ask(0, harnessID)
	r.deliver(0, 1)
	r.adopt(2, 1, 2)
	r.adopt(3, 2, 3)
	r.adopt(4, 3, 4)
	r.ask(3, harnessID)
	r.deliver(2, 3, 4)
	r.wantGranted(1)
	for i := 2; i < 5; i++ {
		r.step(i, GoneProved{harnessMember(0)})
	}
	r.deliver(2, 3, 4)
	r.wantEnding(3, "none")
	return r
}

func TestMembersReplacedFasterThanRecordsMove(t *testing.T) {
	r := replaceFast(t)
	r.deliver(1, 2, 3, 4)
	r.wantEnding(3, "failed, runnerLost")
	r.wantGranted(1)

	r = replaceFast(t)
	for i := 2; i < 5; i++ {
		r.step(i, GoneProved{harnessMember(1)})
	}
	r.deliver(2, 3, 4)
	r.wantEnding(3, "unverifiable, recordsLost")
	r.wantGranted(1)
}

func TestFullTableRefusesOnlyAfterWitnessAnswers(t *testing.T) {
	for name, full := range map[string]int{"home": 0, "witness": 1} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, 2, defects{}, [2]int{0, 1})
			r.claimers[full].opts.MaxRecords = 1
			r.adopt(1, 0, 1)
			r.ask(0, harnessID)
			r.deliver(0, 1)
			r.ask(0, "order:2")
			r.wantEnding(0, "none")
			r.deliver(0, 1)
			r.wantEnding(0, "refused, noCapacity")
			r.ask(0, harnessID)
			r.wantGranted(1)

			r.ask(0, "order:3")
			r.queue = nil // the witness is silent: a later pair may have started the job
			r.now = r.now.Add(DefaultClaimTimeout)
			r.step(0, Tick{})
			r.wantEnding(0, "unverifiable, homeUnreachable")
		})
	}
}

func TestEarliestEndingsAreDroppedAboveBound(t *testing.T) {
	r := newHarness(t, 1, defects{}, [2]int{0, -1})
	r.claimers[0].records.maxEndings = 300
	r.adopt(1, 0)
	for _, id := range []identifier.SubmissionID{"order:1", "order:2", "order:3"} {
		r.ask(0, id)
		r.step(0, JobEnded{Submission: id, Ending: declarer.Complete{Outputs: [][]byte{make([]byte, 100)}}})
	}
	r.ask(0, "order:1")
	r.wantEnding(0, "unverifiable, answerLost")
	r.ask(0, "order:3")
	r.wantEnding(0, "complete")
	r.wantGranted(3)
}

func TestJobOlderThanItsRecordDoesNotBlockDrain(t *testing.T) {
	r := newHarness(t, 1, defects{}, [2]int{0, -1})
	r.adopt(1, 0)
	r.ask(0, harnessID)
	r.step(0, DrainAsked{})
	r.now = r.now.Add(2 * DefaultRetention)
	r.step(0, Tick{})
	if _, ok := r.claimers[0].Find(harnessID); ok {
		t.Error("the record is still kept")
	}
	r.step(0, JobEnded{Submission: harnessID, Ending: declarer.Complete{}})
	if last := r.answers[0][len(r.answers[0])-1]; last != (Drained{}) {
		t.Errorf("last effect %#v", last)
	}
}

func TestUnneededFetchIsCancelled(t *testing.T) {
	r := newHarness(t, 4, defects{}, [2]int{0, 1}, [2]int{2, 3})
	r.adopt(1, 0, 1, 2, 3)
	r.adopt(2, 2, 3)
	r.step(2, PeerLost{harnessMember(0)})
	r.deliver(1, 2, 3)
	if got := r.claimers[2].Stats().CaughtUpShards; got != ShardCount {
		t.Errorf("whole for %d shards", got)
	}
	r.queue = nil
	r.now = r.now.Add(time.Minute)
	r.step(2, Tick{})
	if len(r.queue) != 0 {
		t.Errorf("still sends %#v", r.queue)
	}
}
