package enroller

import (
	"math/rand/v2"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Options configure an Enroller. Durations of 0 take the defaults.
type Options struct {
	Domain            identifier.FailureDomain
	Self              identifier.Member
	Address           string        // for peers, as host:port
	HeartbeatInterval time.Duration // between heartbeats to each peer
	SuspectAfter      time.Duration // of silence, after which a member may be removed
	RetryBase         time.Duration // before the first retry of a store call
	RetryMax          time.Duration // bound of the backoff
	DeletedAfter      time.Duration // of absence from the platform's list, after which a VM counts as deleted; must exceed the lag of that list
	ListWait          time.Duration // for which a member waits to see its VM on the platform's list before it joins
	Rand              *rand.Rand    // spreads the retries of several members
}

// Defaults of Options.
const (
	DefaultHeartbeatInterval = time.Second
	DefaultSuspectAfter      = 5 * time.Second
	DefaultRetryBase         = 200 * time.Millisecond
	DefaultRetryMax          = 5 * time.Second
	DefaultDeletedAfter      = time.Minute
	DefaultListWait          = 5 * time.Second
)

// Enroller decides about the roster of one failure domain. It must be used by
// one goroutine only.
type Enroller struct {
	opts              Options
	roster            *Roster
	proposed          *Roster // in the current swap
	storeCallInFlight bool
	storeFailures     int // consecutive
	retryAt           time.Time
	leaving           bool
	latestSeenEpoch   identifier.Epoch

	lastTick       time.Time
	lastHeartbeat  time.Time
	lastHeard      map[identifier.Member]time.Time        // by member of the roster
	caughtUpEpochs map[identifier.Member]identifier.Epoch // the latest epoch in which a member has caught up, from heartbeats
	list           vmList
	memberStates   map[identifier.Member]memberState // of members seen on rosters
	bootedAt       time.Time                         // time of the first event
}

// New returns an Enroller.
func New(opts Options) *Enroller {
	setDefault(&opts.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&opts.SuspectAfter, DefaultSuspectAfter)
	setDefault(&opts.RetryBase, DefaultRetryBase)
	setDefault(&opts.RetryMax, DefaultRetryMax)
	setDefault(&opts.DeletedAfter, DefaultDeletedAfter)
	setDefault(&opts.ListWait, DefaultListWait)
	if opts.Rand == nil {
		opts.Rand = rand.New(rand.NewPCG(uint64(opts.Self.Incarnation), 0))
	}
	return &Enroller{
		opts:           opts,
		lastHeard:      map[identifier.Member]time.Time{},
		caughtUpEpochs: map[identifier.Member]identifier.Epoch{},
		list:           newVMList(),
		memberStates:   map[identifier.Member]memberState{},
	}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Roster returns the current roster, or nil.
func (e *Enroller) Roster() *Roster { return e.roster }

// Step handles one event and returns the effects to carry out.
func (e *Enroller) Step(now time.Time, event Event) (effects []Effect) {
	if e.bootedAt.IsZero() {
		e.bootedAt = now
	}
	switch event := event.(type) {
	case RosterRead:
		return e.handleRosterRead(now, event)
	case SwapSucceeded:
		return e.handleSwapSucceeded(now)
	case SwapConflict, SwapUnknown, StoreFailed:
		e.scheduleRetry(now)
	case PeerHeard:
		e.notePeerHeard(now, event.Member)
	case PeerMessage:
		return e.handlePeerMessage(now, event)
	case LeaveRequested:
		e.leaving = true
		e.retryAt = time.Time{}
		return e.startChange(now)
	case RecordsCaughtUp:
		e.caughtUpEpochs[e.opts.Self] = max(e.caughtUpEpochs[e.opts.Self], event.Epoch)
	case LaterEpochSeen:
		return e.requestRoster(event)
	case VMListRead:
		e.list.update(now, event)
	case Tick:
		return e.tick(now)
	}
	return nil
}

func (e *Enroller) tick(now time.Time) (effects []Effect) {
	if !e.lastTick.IsZero() && now.Sub(e.lastTick) > e.opts.SuspectAfter/2 {
		e.resetLastHeard(now) // this process was paused, not its peers
	}
	e.lastTick = now
	if now.Sub(e.lastHeartbeat) >= e.opts.HeartbeatInterval {
		e.lastHeartbeat = now
		effects = append(effects, e.heartbeats()...)
	}
	effects = append(effects, e.startChange(now)...)
	return append(effects, e.reportTerminated(now)...)
}

func (e *Enroller) resetLastHeard(now time.Time) {
	for m := range e.lastHeard {
		e.lastHeard[m] = now
	}
}

func (e *Enroller) heartbeats() (effects []Effect) {
	if e.roster == nil {
		return nil
	}
	for _, entry := range e.roster.Members {
		if entry.Member != e.opts.Self {
			effects = append(effects, Send{To: entry.Member, Message: e.heartbeat()})
		}
	}
	return effects
}

func (e *Enroller) heartbeat() peermessenger.Heartbeat {
	return peermessenger.Heartbeat{Member: e.opts.Self, Epoch: e.epoch(), CaughtUpEpoch: e.caughtUpEpochs[e.opts.Self]}
}

func (e *Enroller) epoch() identifier.Epoch {
	if e.roster == nil {
		return 0
	}
	return e.roster.Epoch
}

func (e *Enroller) notePeerHeard(now time.Time, m identifier.Member) {
	if _, ok := e.lastHeard[m]; ok {
		e.lastHeard[m] = now
		return
	}
	for earlier, state := range e.memberStates {
		if earlier.VM == m.VM && earlier.Incarnation < m.Incarnation {
			state.replaced = true
			e.memberStates[earlier] = state
		}
	}
}

func (e *Enroller) handlePeerMessage(now time.Time, event PeerMessage) []Effect {
	e.notePeerHeard(now, event.From)
	switch m := event.Message.(type) {
	case peermessenger.Heartbeat:
		return e.handleHeartbeat(event.From, m)
	case peermessenger.RosterRequest:
		return e.handleRosterRequest(event.From)
	case peermessenger.RosterReply:
		return e.handleRosterReply(now, m)
	}
	return nil
}

func (e *Enroller) handleHeartbeat(from identifier.Member, m peermessenger.Heartbeat) []Effect {
	if _, ok := e.lastHeard[from]; ok {
		e.caughtUpEpochs[from] = max(e.caughtUpEpochs[from], m.CaughtUpEpoch)
	}
	if m.Epoch < e.epoch() {
		return []Effect{Send{To: from, Message: e.heartbeat()}}
	}
	return e.requestRoster(LaterEpochSeen{From: from, Epoch: m.Epoch})
}

// requestRoster requests the roster of a member that knows of a later epoch.
func (e *Enroller) requestRoster(event LaterEpochSeen) []Effect {
	if event.Epoch <= e.epoch() {
		return nil
	}
	e.latestSeenEpoch = max(e.latestSeenEpoch, event.Epoch)
	return []Effect{Send{To: event.From, Message: peermessenger.RosterRequest{}}}
}

func (e *Enroller) handleRosterRequest(from identifier.Member) []Effect {
	if e.roster == nil {
		return nil
	}
	value, err := EncodeRoster(e.roster)
	if err != nil {
		return nil // can't happen: an adopted roster is within the bounds
	}
	return []Effect{Send{To: from, Message: peermessenger.RosterReply{Value: value}}}
}

func (e *Enroller) handleRosterReply(now time.Time, m peermessenger.RosterReply) []Effect {
	r, err := DecodeRoster(m.Value)
	if err != nil || r.Domain != e.opts.Domain {
		return nil
	}
	return e.adoptRoster(now, r)
}

func (e *Enroller) adoptRoster(now time.Time, r *Roster) []Effect {
	if r.Epoch <= e.epoch() {
		return nil
	}
	e.roster = r
	lastHeard := make(map[identifier.Member]time.Time, len(r.Members))
	caughtUpEpochs := make(map[identifier.Member]identifier.Epoch, len(r.Members))
	for _, entry := range r.Members {
		m := entry.Member
		lastHeard[m] = now
		if last, ok := e.lastHeard[m]; ok {
			lastHeard[m] = last
		}
		caughtUpEpochs[m] = e.caughtUpEpochs[m]
	}
	e.lastHeard, e.caughtUpEpochs = lastHeard, caughtUpEpochs
	e.trackMembers(r)
	effects := append([]Effect{RosterAdopted{Roster: r}}, e.heartbeats()...)
	return append(effects, e.reportTerminated(now)...)
}
