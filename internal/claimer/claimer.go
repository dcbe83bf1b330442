// Package claimer decides which entry VM may start the job of a submission, so
// that each job is started at most once.
//
// The roster of a failure domain lists its members, which are the entry VM
// processes, and each change of the roster starts a new epoch. Submissions are
// divided into shards. In each epoch, a shard has a pair of members: its home
// and its witness. A failure domain with a single member has no witness.
//
// Only the home starts jobs. To do so, it first makes a claim: a record that
// names the submission, the epoch and the home itself as the runner. It starts
// the job only after the witness has stored the record in the same epoch. The
// ending of the job is added to the record later, so that a repeated submission
// gets the same ending.
//
// A later home makes a claim of its own before it answers with an ending that
// it has from another runner, and before it reports that a runner has terminated.
// It then becomes the runner of the record, although the job ran elsewhere.
//
// A member that has learned of a later epoch never acts as home or witness in an
// earlier one. The home of a new epoch starts jobs only after it has caught up,
// that is, gathered the records of the earlier epochs; see takeover.go.
//
// A process that shuts down leaves and drains. Leaving marks it on the roster:
// from that epoch on it is in no pair. Draining means that it lets its jobs end
// and hands all its records to the current pairs. docs/design/claims.md argues
// why this is safe and lists the assumptions.
package claimer

import (
	"cmp"
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/enroller"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Claimer decides the claims of one member and keeps its records. It must be
// used by one goroutine only.
// The time passed to Step must be read after the event was received.
type Claimer struct {
	opts          Options
	now           time.Time // never decreases
	roster        *enroller.Roster
	promised      identifier.Epoch // the latest known epoch; this VM is no home or witness in earlier ones
	pairs         map[identifier.Epoch]*pairTable
	shards        [ShardCount]takeoverState
	records       recordTable
	serial        peermessenger.ClaimSerial
	reportedEpoch identifier.Epoch // the last epoch for which RecordsCaughtUp was emitted

	waiting map[identifier.SubmissionID]*claimRequest // requests that can't be decided yet
	pending map[identifier.SubmissionID]*pendingClaim // claims that the witness has not answered
	queries map[identifier.SubmissionID]*claimQuery   // sent to the runners of records and not answered yet

	fetches            map[identifier.Member]*fetch
	terminated         map[identifier.Member]time.Time            // when this VM learned that the member's process has ended
	latestIncarnations map[identifier.VMID]identifier.Incarnation // the highest seen on rosters
	unreachable        map[identifier.Member]bool                 // members reported as PeerUnreachable, or with triesUntilUnreachable unanswered fetches; not heard from since

	outboxes       map[identifier.Member]*outbox
	unacknowledged map[identifier.SubmissionID]int      // number of receivers that have not acknowledged the ending of a job that ran here
	lastPage       peermessenger.PageNumber             // the last page number used, for any member
	running        map[identifier.SubmissionID]struct{} // jobs that were granted here and have not ended
	draining       bool
	drained        bool
	drain          drainState

	effects []Effect // of the current step
}

// New returns a Claimer.
func New(opts Options) *Claimer {
	opts.setDefaults()
	return &Claimer{
		opts:               opts,
		pairs:              map[identifier.Epoch]*pairTable{},
		records:            newRecordTable(opts.MaxEndingsBytes),
		waiting:            map[identifier.SubmissionID]*claimRequest{},
		pending:            map[identifier.SubmissionID]*pendingClaim{},
		queries:            map[identifier.SubmissionID]*claimQuery{},
		fetches:            map[identifier.Member]*fetch{},
		terminated:         map[identifier.Member]time.Time{},
		latestIncarnations: map[identifier.VMID]identifier.Incarnation{},
		unreachable:        map[identifier.Member]bool{},
		outboxes:           map[identifier.Member]*outbox{},
		unacknowledged:     map[identifier.SubmissionID]int{},
		running:            map[identifier.SubmissionID]struct{}{},
	}
}

// Step handles one event and returns the effects to carry out.
func (c *Claimer) Step(now time.Time, event Event) []Effect {
	if now.After(c.now) {
		c.now = now
	}
	c.effects = nil
	switch event := event.(type) {
	case RosterAdopted:
		c.adoptRoster(event.Roster)
	case ClaimRequested:
		c.requestClaim(event)
	case JobEnded:
		c.recordEnding(event)
	case PeerMessage:
		delete(c.unreachable, event.From)
		c.handleMessage(event.From, event.Message)
	case PeerUnreachable:
		c.unreachable[event.Member] = true
		c.advanceTakeover()
	case MemberTerminated:
		c.noteTerminated(event.Member)
	case DrainRequested:
		c.draining = true
		c.advanceDrain()
	case Tick:
		c.tick()
	}
	return c.effects
}

func (c *Claimer) handleMessage(sender identifier.Member, message peermessenger.Message) {
	switch m := message.(type) {
	case peermessenger.RecordClaim:
		c.handleRecordClaim(sender, m)
	case peermessenger.ClaimRecorded:
		c.handleClaimRecorded(sender, m)
	case peermessenger.ClaimNotRecorded:
		c.handleClaimNotRecorded(sender, m)
	case peermessenger.FetchRecords:
		c.handleFetchRecords(sender, m)
	case peermessenger.RecordPage:
		c.handleRecordPage(sender, m)
	case peermessenger.HandOverRecords:
		c.handleHandOverRecords(sender, m)
	case peermessenger.HandoverAcknowledged:
		c.handleHandoverAcknowledged(sender, m)
	case peermessenger.QueryClaim:
		c.handleQueryClaim(sender, m)
	case peermessenger.ClaimState:
		c.handleClaimState(sender, m)
	}
}

func (c *Claimer) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Claimer) send(to identifier.Member, m peermessenger.Message) {
	c.emit(Send{To: to, Message: m})
}

// hasLatestRoster reports whether this VM's roster belongs to the latest epoch
// that it knows. Otherwise this VM doesn't act as a home.
func (c *Claimer) hasLatestRoster() bool {
	return c.roster != nil && c.promised == c.roster.Epoch
}

// promise stops this VM from acting as home or witness in epochs before the given
// one. Claims that the witness has not answered wait to be decided again.
func (c *Claimer) promise(epoch identifier.Epoch) {
	if epoch <= c.promised {
		return
	}
	c.promised = epoch
	if c.opts.defects.homeIgnoresEpoch {
		return
	}
	for id, p := range c.pending {
		c.waiting[id] = p.request
		delete(c.pending, id)
	}
}

// learnEpoch makes the promise for an epoch reported by a member, and asks for
// its roster if this VM lacks it.
func (c *Claimer) learnEpoch(sender identifier.Member, epoch identifier.Epoch) {
	c.promise(epoch)
	if c.roster == nil || epoch > c.roster.Epoch {
		c.emit(LaterEpochSeen{From: sender, Epoch: epoch})
	}
}

func (c *Claimer) adoptRoster(r *enroller.Roster) {
	if c.roster != nil && r.Epoch <= c.roster.Epoch {
		return
	}
	c.promise(r.Epoch)
	c.roster = r
	c.updatePairs(r)
	c.updateIncarnations(r)
	c.forgetTerminated(r)
	c.retargetOutboxes()
	c.advanceTakeover()
	c.advanceDrain()
}

func (c *Claimer) updatePairs(r *enroller.Roster) {
	for epoch := range c.pairs {
		if epoch < r.Base {
			delete(c.pairs, epoch)
		}
	}
	for epoch := r.Base; epoch <= r.Epoch; epoch++ {
		if _, ok := c.pairs[epoch]; ok {
			continue
		}
		members, _ := r.MembersAt(epoch)
		table := newPairTable(members)
		c.pairs[epoch] = &table
	}
	for s := range c.shards {
		c.shards[s].forgetBefore(r.Base)
	}
}

func (c *Claimer) updateIncarnations(r *enroller.Roster) {
	for epoch := r.Base; epoch <= r.Epoch; epoch++ {
		members, _ := r.MembersAt(epoch)
		for _, entry := range members {
			vm := entry.Member.VM
			c.latestIncarnations[vm] = max(c.latestIncarnations[vm], entry.Member.Incarnation)
		}
	}
}

// forgetTerminated drops what is known of members that no roster and no record
// can mention any more.
func (c *Claimer) forgetTerminated(r *enroller.Roster) {
	for m, since := range c.terminated {
		if _, ok := r.Address(m); !ok && c.now.Sub(since) > terminatedRetentionFactor*c.opts.Retention {
			delete(c.terminated, m)
		}
	}
	for m := range c.unreachable {
		if _, ok := r.Address(m); !ok {
			delete(c.unreachable, m)
		}
	}
}

// terminatedRetentionFactor is the time for which a member is remembered as
// terminated, in multiples of the retention.
const terminatedRetentionFactor = 2

// pair returns the pair of a shard in the epoch of the current roster.
func (c *Claimer) pair(s Shard) Pair {
	return c.pairs[c.roster.Epoch][s]
}

// hasTerminated reports whether a member's process is proved to have ended.
func (c *Claimer) hasTerminated(m identifier.Member) bool {
	_, terminated := c.terminated[m]
	return terminated || c.latestIncarnations[m.VM] > m.Incarnation
}

func (c *Claimer) noteTerminated(m identifier.Member) {
	if m == c.opts.Self {
		return
	}
	c.terminated[m] = c.now
	delete(c.fetches, m)
	c.advanceTakeover()
}

func (c *Claimer) tick() {
	c.records.expire(c.nowPlus(-c.opts.Retention - recordMargin*c.opts.ClockBound))
	c.timeOutRequests()
	c.resendClaims()
	c.resendQueries()
	c.resendFetches()
	c.advanceTakeover()
	c.flushOutboxes()
	c.advanceDrain()
}

// nowPlus returns the current time plus d.
func (c *Claimer) nowPlus(d time.Duration) peermessenger.UnixMillis {
	return peermessenger.UnixMillis(c.now.Add(d).UnixMilli())
}

func sortedIDs[V any](m map[identifier.SubmissionID]V) []identifier.SubmissionID {
	ids := make([]identifier.SubmissionID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func sortedMembers[V any](m map[identifier.Member]V) []identifier.Member {
	members := make([]identifier.Member, 0, len(m))
	for member := range m {
		members = append(members, member)
	}
	slices.SortFunc(members, func(a, b identifier.Member) int {
		return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return members
}
