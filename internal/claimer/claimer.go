// Package claimer decides who may run a submission, so that each is started at
// most once.
//
// Submissions are divided into shards. In each epoch of the failure domain's
// roster a shard has a home and a witness. The home lets a job start only after
// the witness has recorded its claim under the same epoch, and a member that
// has learned of a later epoch never acts under an earlier one. The pair of a
// new epoch lets jobs start only after it has gathered the records of the
// earlier epochs; see walk.go. docs/design/claims.md argues why this is safe
// and lists what it assumes.
package claimer

import (
	"cmp"
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/enroller"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Claimer holds the claims of one VM. It is owned by one goroutine. The time
// that is handed to Step has to be read after the event was received.
type Claimer struct {
	opts     Options
	now      time.Time // never goes back
	roster   *enroller.Roster
	promised identifier.Epoch // the latest epoch learned of; nothing is done under earlier ones
	pairs    map[identifier.Epoch]*pairTable
	shards   [ShardCount]shardState
	records  recordTable
	serial   peermessenger.ClaimSerial
	reported identifier.Epoch // for which RecordsWhole was last told

	waiting map[identifier.SubmissionID]*ask     // asks that can't be decided yet
	pending map[identifier.SubmissionID]*pending // claims that the witness has not answered
	queries map[identifier.SubmissionID]*query   // to runners

	fetches map[identifier.Member]*fetch
	gone    map[identifier.Member]time.Time            // since when that is known
	latest  map[identifier.VMID]identifier.Incarnation // seen on rosters
	silent  map[identifier.Member]bool                 // lost, and not heard since

	outboxes map[identifier.Member]*outbox
	unhanded map[identifier.SubmissionID]int      // endings of jobs run here, by the receivers that lack them
	pages    peermessenger.PageNumber             // handed to any member so far
	running  map[identifier.SubmissionID]struct{} // jobs that were granted here and have not ended
	draining bool
	drained  bool
	drain    drainState

	effects []Effect // of the present step
}

// New returns a Claimer.
func New(opts Options) *Claimer {
	opts.setDefaults()
	return &Claimer{
		opts:     opts,
		pairs:    map[identifier.Epoch]*pairTable{},
		records:  newRecordTable(opts.MaxEndings),
		waiting:  map[identifier.SubmissionID]*ask{},
		pending:  map[identifier.SubmissionID]*pending{},
		queries:  map[identifier.SubmissionID]*query{},
		fetches:  map[identifier.Member]*fetch{},
		gone:     map[identifier.Member]time.Time{},
		latest:   map[identifier.VMID]identifier.Incarnation{},
		silent:   map[identifier.Member]bool{},
		outboxes: map[identifier.Member]*outbox{},
		unhanded: map[identifier.SubmissionID]int{},
		running:  map[identifier.SubmissionID]struct{}{},
	}
}

// Step reacts to one event.
func (c *Claimer) Step(now time.Time, event Event) []Effect {
	if now.After(c.now) {
		c.now = now
	}
	c.effects = nil
	switch event := event.(type) {
	case RosterAdopted:
		c.adopt(event.Roster)
	case ClaimAsked:
		c.asked(event)
	case JobEnded:
		c.jobEnded(event)
	case PeerReceived:
		delete(c.silent, event.From)
		c.received(event.From, event.Message)
	case PeerLost:
		c.silent[event.Member] = true
		c.advance()
	case GoneProved:
		c.memberGone(event.Member)
	case DrainAsked:
		c.draining = true
		c.advanceDrain()
	case Tick:
		c.tick()
	}
	return c.effects
}

func (c *Claimer) received(from identifier.Member, message peermessenger.Message) {
	switch m := message.(type) {
	case peermessenger.RecordClaim:
		c.recordClaim(from, m)
	case peermessenger.ClaimRecorded:
		c.claimRecorded(from, m)
	case peermessenger.ClaimNotRecorded:
		c.claimNotRecorded(from, m)
	case peermessenger.FetchRecords:
		c.fetchRecords(from, m)
	case peermessenger.RecordPage:
		c.recordPage(from, m)
	case peermessenger.HandRecords:
		c.handRecords(from, m)
	case peermessenger.RecordsHanded:
		c.recordsHanded(from, m)
	case peermessenger.QueryClaim:
		c.queryClaim(from, m)
	case peermessenger.ClaimState:
		c.claimState(from, m)
	}
}

func (c *Claimer) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Claimer) send(to identifier.Member, m peermessenger.Message) {
	c.emit(Send{To: to, Message: m})
}

// acting reports whether this VM may act: the roster of the latest epoch that it
// has learned of is the one in force here.
func (c *Claimer) acting() bool {
	return c.roster != nil && c.promised == c.roster.Epoch
}

// promise stops all acting under epochs before the given one.
func (c *Claimer) promise(epoch identifier.Epoch) {
	if epoch <= c.promised {
		return
	}
	c.promised = epoch
	if c.opts.defects.homeIgnoresEpoch {
		return
	}
	for id, p := range c.pending {
		c.waiting[id] = p.ask
		delete(c.pending, id)
	}
}

// promiseTo makes the promise on behalf of a member that told the epoch.
func (c *Claimer) promiseTo(from identifier.Member, epoch identifier.Epoch) {
	c.promise(epoch)
	if c.roster == nil || epoch > c.roster.Epoch {
		c.emit(EpochHeard{From: from, Epoch: epoch})
	}
}

func (c *Claimer) adopt(r *enroller.Roster) {
	if c.roster != nil && r.Epoch <= c.roster.Epoch {
		return
	}
	c.promise(r.Epoch)
	c.roster = r
	c.learnPairs(r)
	c.learnIncarnations(r)
	c.forgetGone(r)
	c.retargetOutboxes()
	c.advance()
	c.advanceDrain()
}

func (c *Claimer) learnPairs(r *enroller.Roster) {
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

func (c *Claimer) learnIncarnations(r *enroller.Roster) {
	for epoch := r.Base; epoch <= r.Epoch; epoch++ {
		members, _ := r.MembersAt(epoch)
		for _, entry := range members {
			vm := entry.Member.VM
			c.latest[vm] = max(c.latest[vm], entry.Member.Incarnation)
		}
	}
}

// forgetGone drops what is known of members that no roster and no record can
// mention any more.
func (c *Claimer) forgetGone(r *enroller.Roster) {
	for m, since := range c.gone {
		if _, ok := r.Address(m); !ok && c.now.Sub(since) > goneMargin*c.opts.Retention {
			delete(c.gone, m)
		}
	}
	for m := range c.silent {
		if _, ok := r.Address(m); !ok {
			delete(c.silent, m)
		}
	}
}

// goneMargin is the time for which members are known to be gone, in multiples of
// the retention.
const goneMargin = 2

// pair returns the pair of a shard in the epoch of the roster in force.
func (c *Claimer) pair(s Shard) Pair {
	return c.pairs[c.roster.Epoch][s]
}

// isGone reports whether a member's process is proved to have ended.
func (c *Claimer) isGone(m identifier.Member) bool {
	_, gone := c.gone[m]
	return gone || c.latest[m.VM] > m.Incarnation
}

func (c *Claimer) memberGone(m identifier.Member) {
	if m == c.opts.Self {
		return
	}
	c.gone[m] = c.now
	delete(c.fetches, m)
	c.advance()
}

func (c *Claimer) tick() {
	c.records.expire(c.millis(-c.opts.Retention - recordMargin*c.opts.ClockBound))
	c.timeOutAsks()
	c.resendClaims()
	c.resendQueries()
	c.resendFetches()
	c.advance()
	c.flushOutboxes()
	c.advanceDrain()
}

// millis returns the present time plus d.
func (c *Claimer) millis(d time.Duration) peermessenger.UnixMillis {
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
