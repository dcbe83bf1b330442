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
	h := &harness{t: t, now: start, answers: map[int][]Effect{}}
	var entries []enroller.RosterMember
	for i := range n {
		entries = append(entries, enroller.RosterMember{Member: harnessMember(i)})
	}
	h.rosters = []*enroller.Roster{enroller.NewRoster(start, testDomain, entries)}
	for range len(pairs) - 1 {
		next, _ := h.rosters[len(h.rosters)-1].Next(start, entries, false)
		h.rosters = append(h.rosters, next)
	}
	for i := range n {
		c := New(Options{Self: harnessMember(i), Domain: testDomain, defects: d})
		for e, p := range pairs {
			c.pairs[identifier.Epoch(e+1)] = uniformTable(p)
		}
		h.claimers = append(h.claimers, c)
	}
	return h
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

func (h *harness) step(i int, e Event) {
	for _, effect := range h.claimers[i].Step(h.now, e) {
		send, ok := effect.(Send)
		if !ok {
			h.answers[i] = append(h.answers[i], effect)
			continue
		}
		for j := range h.claimers {
			if harnessMember(j) == send.To {
				h.queue = append(h.queue, harnessMessage{i, j, send.Message})
			}
		}
	}
}

func (h *harness) adopt(epoch int, members ...int) {
	for _, i := range members {
		h.step(i, RosterAdopted{h.rosters[epoch-1]})
	}
}

func (h *harness) requestClaim(i int, id identifier.SubmissionID) {
	h.step(i, ClaimRequested{Submission: id, CreatedAt: start})
}

// deliver delivers the messages between the given claimers until there are
// none. Other messages stay in flight.
func (h *harness) deliver(among ...int) {
	reachable := map[int]bool{}
	for _, i := range among {
		reachable[i] = true
	}
	var kept []harnessMessage
	for len(h.queue) > 0 {
		m := h.queue[0]
		h.queue = h.queue[1:]
		if reachable[m.from] && reachable[m.to] {
			h.step(m.to, PeerMessage{From: harnessMember(m.from), Message: m.message})
		} else {
			kept = append(kept, m)
		}
	}
	h.queue = kept
}

func (h *harness) granted() (n int) {
	for i := range h.claimers {
		for _, e := range h.answers[i] {
			if _, ok := e.(ClaimGranted); ok {
				n++
			}
		}
	}
	return n
}

func (h *harness) wantGranted(want int) {
	h.t.Helper()
	if got := h.granted(); got != want {
		h.t.Errorf("%d starts, want %d", got, want)
	}
}

// wantEnding checks the last ending with which a claimer answered.
func (h *harness) wantEnding(i int, want string) {
	h.t.Helper()
	got := "none"
	for _, e := range h.answers[i] {
		if answered, ok := e.(ClaimAnswered); ok {
			got = describeEnding(answered.Ending)
		}
	}
	if got != want {
		h.t.Errorf("claimer %d answered %s, want %s", i, got, want)
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
		h := newHarness(t, 4, d, [2]int{0, 1}, [2]int{3, 2}, [2]int{1, 0})
		h.adopt(1, 0, 1, 2, 3)
		h.adopt(2, 2, 3)
		h.deliver(0, 2, 3)
		h.requestClaim(3, harnessID)
		h.deliver(2, 3)
		h.adopt(3, 0, 1)
		h.requestClaim(1, harnessID)
		h.deliver(0, 1)
		return h
	})
}

func TestTakeoverSkipsNoEpoch(t *testing.T) {
	// Member 0 adopts epoch 3 directly after epoch 1 and never sees epoch 2.
	wantDefectFound(t, defects{skipEpoch: true}, func(t *testing.T, d defects) *harness {
		h := newHarness(t, 4, d, [2]int{0, 1}, [2]int{2, 3}, [2]int{0, 1})
		h.adopt(1, 0, 1, 2, 3)
		h.adopt(2, 2, 3)
		h.deliver(1, 2, 3)
		h.step(2, PeerUnreachable{harnessMember(0)})
		h.step(3, PeerUnreachable{harnessMember(0)})
		h.deliver(1, 2, 3)
		h.requestClaim(2, harnessID)
		h.deliver(2, 3)
		h.adopt(3, 0, 1)
		h.requestClaim(0, harnessID)
		h.deliver(0, 1)
		return h
	})
}

func TestWitnessRefusesClaimInClosedEpoch(t *testing.T) {
	wantDefectFound(t, defects{witnessIgnoresEpoch: true}, func(t *testing.T, d defects) *harness {
		h := newHarness(t, 4, d, [2]int{0, 1}, [2]int{2, 3})
		h.adopt(1, 0, 1, 2, 3)
		h.adopt(2, 2, 3)
		h.step(2, PeerUnreachable{harnessMember(0)})
		h.step(3, PeerUnreachable{harnessMember(0)})
		h.deliver(1, 2, 3)
		h.requestClaim(2, harnessID)
		h.deliver(2, 3)
		h.requestClaim(0, harnessID)
		h.deliver(0, 1)
		return h
	})
}

func TestHomeStartsNoJobInClosedEpoch(t *testing.T) {
	wantDefectFound(t, defects{homeIgnoresEpoch: true}, func(t *testing.T, d defects) *harness {
		h := newHarness(t, 4, d, [2]int{0, 1}, [2]int{2, 3})
		h.adopt(1, 0, 1, 2, 3)
		h.requestClaim(0, harnessID)
		h.adopt(2, 2, 3)
		h.deliver(0, 2, 3) // member 0 sends its records, without the claim
		h.requestClaim(2, harnessID)
		h.deliver(2, 3)
		h.deliver(0, 1) // and then learns that its witness has recorded the claim
		return h
	})
}

func TestRunnerPromisesEpochBeforeAnsweringQuery(t *testing.T) {
	wantDefectFound(t, defects{answerQueryWithoutPromise: true}, func(t *testing.T, d defects) *harness {
		h := newHarness(t, 4, d, [2]int{0, 1}, [2]int{2, 3})
		h.adopt(1, 0, 1, 2, 3)
		h.requestClaim(0, harnessID)
		h.step(1, PeerMessage{From: harnessMember(0), Message: h.queue[0].message})
		h.queue = nil // the answer of the witness is still in flight
		ack := peermessenger.ClaimRecorded{Epoch: 1, Claim: peermessenger.ClaimRef{Submission: harnessID, Serial: 1}}
		h.adopt(2, 2, 3)
		h.step(2, PeerUnreachable{harnessMember(0)})
		h.step(3, PeerUnreachable{harnessMember(0)})
		h.queue = dropTo(h.queue, 0)
		h.deliver(1, 2, 3)
		h.requestClaim(2, harnessID)
		h.deliver(0, 2, 3)
		h.step(0, PeerMessage{From: harnessMember(1), Message: ack})
		return h
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
		h := newHarness(t, 4, d, [2]int{0, 2}, [2]int{1, 2}, [2]int{3, 2})
		h.adopt(1, 0, 1, 2, 3)
		h.requestClaim(0, harnessID)
		h.deliver(0, 2)
		h.adopt(2, 0, 1, 2)
		h.deliver(0, 1, 2)
		h.step(0, JobEnded{Submission: harnessID, Ending: declarer.Complete{Outputs: [][]byte{{1}}}})
		h.step(0, Tick{})
		h.deliver(0, 1)
		h.queue = nil
		for i := 1; i < 4; i++ {
			h.step(i, MemberTerminated{harnessMember(0)})
		}
		h.step(3, PeerUnreachable{harnessMember(1)})
		h.adopt(3, 2, 3)
		h.deliver(2, 3)
		h.requestClaim(3, harnessID)
		h.deliver(2, 3)
		h.wantEnding(3, "failed, runnerLost")
		h.requestClaim(1, harnessID)
		h.deliver(1, 2)
		return h
	}
	run(defects{}).wantEnding(1, "none")
	run(defects{unconfirmedEnding: true}).wantEnding(1, "complete")
}

func TestMessagesOfAnEpochArriveTwoEpochsLater(t *testing.T) {
	h := newHarness(t, 2, defects{}, [2]int{0, 1}, [2]int{1, 0}, [2]int{0, 1})
	h.adopt(1, 0, 1)
	h.requestClaim(0, harnessID)
	claim := h.queue[0]
	h.queue = nil
	ack := peermessenger.ClaimRecorded{Epoch: 1, Claim: peermessenger.ClaimRef{Submission: harnessID, Serial: 1}}
	h.adopt(3, 0, 1)
	h.queue = nil // the claim that is repeated in epoch 3
	h.step(0, PeerMessage{From: harnessMember(1), Message: ack})
	h.wantGranted(0)
	h.step(1, PeerMessage{From: harnessMember(0), Message: claim.message})
	if m, ok := h.queue[0].message.(peermessenger.ClaimNotRecorded); !ok || m.Cause != peermessenger.EpochClosed {
		t.Errorf("witness answered %#v", h.queue[0].message)
	}
}

func TestTwoMembersAreWitnessForEachOther(t *testing.T) {
	h := newHarness(t, 2, defects{}, [2]int{0, 1})
	const other = "order:2"
	for _, c := range h.claimers {
		c.pairs[1][shardOf(other)] = Pair{Home: harnessMember(1), Witness: harnessMember(0)}
	}
	if shardOf(other) == shardOf(harnessID) {
		t.Fatal("both ids are in one shard")
	}
	h.adopt(1, 0, 1)
	h.requestClaim(0, harnessID)
	h.requestClaim(1, other)
	h.deliver(0, 1)
	h.wantGranted(2)
}

func TestSingleMember(t *testing.T) {
	h := newHarness(t, 2, defects{}, [2]int{0, -1}, [2]int{1, -1})
	h.adopt(1, 0)
	h.requestClaim(0, harnessID)
	h.wantGranted(1)
	h.adopt(2, 1)
	h.requestClaim(1, harnessID)
	h.now = h.now.Add(DefaultClaimTimeout)
	h.step(1, Tick{})
	h.wantEnding(1, "unverifiable, homeUnreachable")
	h.step(1, MemberTerminated{harnessMember(0)})
	h.requestClaim(1, harnessID)
	h.wantEnding(1, "unverifiable, recordsLost")
	h.now = h.now.Add(time.Minute)
	h.step(1, ClaimRequested{Submission: "order:2", CreatedAt: h.now})
	h.wantGranted(2)
	h.now = start.Add(DefaultRetention + time.Second)
	h.requestClaim(1, harnessID)
	h.wantEnding(1, "unverifiable, recordExpired")
}

// replaceFast replaces the members of the pair one after another before the
// records have moved. Only members 0 and 1 know the record of the start.
func replaceFast(t *testing.T) *harness {
	h := newHarness(t, 5, defects{}, [2]int{0, 1}, [2]int{1, 2}, [2]int{2, 3}, [2]int{3, 4})
	h.adopt(1, 0, 1, 2, 3, 4)
	h.requestClaim(0, harnessID)
	h.deliver(0, 1)
	h.adopt(2, 1, 2)
	h.adopt(3, 2, 3)
	h.adopt(4, 3, 4)
	h.requestClaim(3, harnessID)
	h.deliver(2, 3, 4)
	h.wantGranted(1)
	for i := 2; i < 5; i++ {
		h.step(i, MemberTerminated{harnessMember(0)})
	}
	h.deliver(2, 3, 4)
	h.wantEnding(3, "none")
	return h
}

func TestMembersReplacedFasterThanRecordsMove(t *testing.T) {
	h := replaceFast(t)
	h.deliver(1, 2, 3, 4)
	h.wantEnding(3, "failed, runnerLost")
	h.wantGranted(1)

	h = replaceFast(t)
	for i := 2; i < 5; i++ {
		h.step(i, MemberTerminated{harnessMember(1)})
	}
	h.deliver(2, 3, 4)
	h.wantEnding(3, "unverifiable, recordsLost")
	h.wantGranted(1)
}

func TestFullTableRefusesOnlyAfterWitnessAnswers(t *testing.T) {
	for name, full := range map[string]int{"home": 0, "witness": 1} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2, defects{}, [2]int{0, 1})
			h.claimers[full].opts.MaxRecords = 1
			h.adopt(1, 0, 1)
			h.requestClaim(0, harnessID)
			h.deliver(0, 1)
			h.requestClaim(0, "order:2")
			h.wantEnding(0, "none")
			h.deliver(0, 1)
			h.wantEnding(0, "refused, noCapacity")
			h.requestClaim(0, harnessID)
			h.wantGranted(1)

			h.requestClaim(0, "order:3")
			h.queue = nil // the witness does not answer: a later pair may have started the job
			h.now = h.now.Add(DefaultClaimTimeout)
			h.step(0, Tick{})
			h.wantEnding(0, "unverifiable, homeUnreachable")
		})
	}
}

func TestEarliestEndingsAreDroppedAboveBound(t *testing.T) {
	h := newHarness(t, 1, defects{}, [2]int{0, -1})
	h.claimers[0].records.maxEndingsBytes = 300
	h.adopt(1, 0)
	for _, id := range []identifier.SubmissionID{"order:1", "order:2", "order:3"} {
		h.requestClaim(0, id)
		h.step(0, JobEnded{Submission: id, Ending: declarer.Complete{Outputs: [][]byte{make([]byte, 100)}}})
	}
	h.requestClaim(0, "order:1")
	h.wantEnding(0, "unverifiable, answerLost")
	h.requestClaim(0, "order:3")
	h.wantEnding(0, "complete")
	h.wantGranted(3)
}

func TestJobOlderThanItsRecordDoesNotBlockDrain(t *testing.T) {
	h := newHarness(t, 1, defects{}, [2]int{0, -1})
	h.adopt(1, 0)
	h.requestClaim(0, harnessID)
	h.step(0, DrainRequested{})
	h.now = h.now.Add(2 * DefaultRetention)
	h.step(0, Tick{})
	if _, ok := h.claimers[0].Find(harnessID); ok {
		t.Error("the record is still kept")
	}
	h.step(0, JobEnded{Submission: harnessID, Ending: declarer.Complete{}})
	if last := h.answers[0][len(h.answers[0])-1]; last != (Drained{}) {
		t.Errorf("last effect %#v", last)
	}
}

func TestUnneededFetchIsCancelled(t *testing.T) {
	h := newHarness(t, 4, defects{}, [2]int{0, 1}, [2]int{2, 3})
	h.adopt(1, 0, 1, 2, 3)
	h.adopt(2, 2, 3)
	h.step(2, PeerUnreachable{harnessMember(0)})
	h.deliver(1, 2, 3)
	if got := h.claimers[2].Stats().CaughtUpShards; got != ShardCount {
		t.Errorf("caught up for %d shards", got)
	}
	h.queue = nil
	h.now = h.now.Add(time.Minute)
	h.step(2, Tick{})
	if len(h.queue) != 0 {
		t.Errorf("still sends %#v", h.queue)
	}
}
