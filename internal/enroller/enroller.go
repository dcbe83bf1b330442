package enroller

import (
	"math/rand/v2"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Options configure an Enroller. Times of 0 take the defaults.
type Options struct {
	Domain            identifier.FailureDomain
	Self              identifier.Member
	Address           string        // for peers, as host:port
	HeartbeatInterval time.Duration // between heartbeats to each peer
	SuspectAfter      time.Duration // of silence before a member may be removed
	RetryBase         time.Duration // before the store is asked again after a failure
	RetryMax          time.Duration
	GoneAfter         time.Duration // of absence from the platform's list before a VM counts as deleted; longer than that list lags
	ListWait          time.Duration // for the platform's list to show this VM before it joins
	Rand              *rand.Rand    // spreads the attempts of several members
}

// Defaults of Options.
const (
	DefaultHeartbeatInterval = time.Second
	DefaultSuspectAfter      = 5 * time.Second
	DefaultRetryBase         = 200 * time.Millisecond
	DefaultRetryMax          = 5 * time.Second
	DefaultGoneAfter         = time.Minute
	DefaultListWait          = 5 * time.Second
)

// Enroller decides about the roster of one failure domain. It is owned by one
// goroutine.
type Enroller struct {
	opts     Options
	roster   *Roster
	proposed *Roster // in the swap that is under way
	busy     bool    // a call to the store is under way
	failures int     // of the store, in a row
	retryAt  time.Time
	leaving  bool
	latest   identifier.Epoch // heard of

	lastTick      time.Time
	lastHeartbeat time.Time
	heard         map[identifier.Member]time.Time        // when a member of the roster was last heard
	whole         map[identifier.Member]identifier.Epoch // as told in heartbeats
	list          vmList
	fates         map[identifier.Member]fate // of members seen on rosters
	bootedAt      time.Time                  // when the first event came
}

// New returns an Enroller.
func New(opts Options) *Enroller {
	setDefault(&opts.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&opts.SuspectAfter, DefaultSuspectAfter)
	setDefault(&opts.RetryBase, DefaultRetryBase)
	setDefault(&opts.RetryMax, DefaultRetryMax)
	setDefault(&opts.GoneAfter, DefaultGoneAfter)
	setDefault(&opts.ListWait, DefaultListWait)
	if opts.Rand == nil {
		opts.Rand = rand.New(rand.NewPCG(uint64(opts.Self.Incarnation), 0))
	}
	return &Enroller{
		opts:  opts,
		heard: map[identifier.Member]time.Time{},
		whole: map[identifier.Member]identifier.Epoch{},
		list:  newVMList(),
		fates: map[identifier.Member]fate{},
	}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Roster returns the roster in force, or nil.
func (e *Enroller) Roster() *Roster { return e.roster }

// Step reacts to one event.
func (e *Enroller) Step(now time.Time, event Event) (effects []Effect) {
	if e.bootedAt.IsZero() {
		e.bootedAt = now
	}
	switch event := event.(type) {
	case RosterRead:
		return e.rosterRead(now, event)
	case SwapSucceeded:
		return e.swapSucceeded(now)
	case SwapConflict, SwapUnknown, StoreFailed:
		e.storeFailed(now)
	case PeerHeard:
		e.peerHeard(now, event.Member)
	case PeerReceived:
		return e.peerReceived(now, event)
	case LeaveRequested:
		e.leaving = true
		e.retryAt = time.Time{}
		return e.change(now)
	case RecordsWhole:
		e.whole[e.opts.Self] = max(e.whole[e.opts.Self], event.Epoch)
	case EpochHeard:
		return e.epochHeard(event)
	case VMListRead:
		e.list.read(now, event)
	case Tick:
		return e.tick(now)
	}
	return nil
}

func (e *Enroller) tick(now time.Time) (effects []Effect) {
	if !e.lastTick.IsZero() && now.Sub(e.lastTick) > e.opts.SuspectAfter/2 {
		e.forgiveSilence(now) // this process was paused, not its peers
	}
	e.lastTick = now
	if now.Sub(e.lastHeartbeat) >= e.opts.HeartbeatInterval {
		e.lastHeartbeat = now
		effects = append(effects, e.heartbeats()...)
	}
	effects = append(effects, e.change(now)...)
	return append(effects, e.findGone(now)...)
}

func (e *Enroller) forgiveSilence(now time.Time) {
	for m := range e.heard {
		e.heard[m] = now
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
	return peermessenger.Heartbeat{Member: e.opts.Self, Epoch: e.epoch(), Whole: e.whole[e.opts.Self]}
}

func (e *Enroller) epoch() identifier.Epoch {
	if e.roster == nil {
		return 0
	}
	return e.roster.Epoch
}

func (e *Enroller) peerHeard(now time.Time, m identifier.Member) {
	if _, ok := e.heard[m]; ok {
		e.heard[m] = now
		return
	}
	for earlier, f := range e.fates {
		if earlier.VM == m.VM && earlier.Incarnation < m.Incarnation {
			f.replaced = true
			e.fates[earlier] = f
		}
	}
}

func (e *Enroller) peerReceived(now time.Time, event PeerReceived) []Effect {
	e.peerHeard(now, event.From)
	switch m := event.Message.(type) {
	case peermessenger.Heartbeat:
		return e.heartbeatReceived(event.From, m)
	case peermessenger.RosterRequest:
		return e.rosterRequested(event.From)
	case peermessenger.RosterReply:
		return e.rosterReceived(now, m)
	}
	return nil
}

func (e *Enroller) heartbeatReceived(from identifier.Member, m peermessenger.Heartbeat) []Effect {
	if _, ok := e.heard[from]; ok {
		e.whole[from] = max(e.whole[from], m.Whole)
	}
	if m.Epoch < e.epoch() {
		return []Effect{Send{To: from, Message: e.heartbeat()}}
	}
	return e.epochHeard(EpochHeard{From: from, Epoch: m.Epoch})
}

// epochHeard asks a member for its roster if that is later than the one in force.
func (e *Enroller) epochHeard(event EpochHeard) []Effect {
	if event.Epoch <= e.epoch() {
		return nil
	}
	e.latest = max(e.latest, event.Epoch)
	return []Effect{Send{To: event.From, Message: peermessenger.RosterRequest{}}}
}

func (e *Enroller) rosterRequested(from identifier.Member) []Effect {
	if e.roster == nil {
		return nil
	}
	value, err := EncodeRoster(e.roster)
	if err != nil {
		return nil // a roster that was adopted is within the bounds
	}
	return []Effect{Send{To: from, Message: peermessenger.RosterReply{Value: value}}}
}

func (e *Enroller) rosterReceived(now time.Time, m peermessenger.RosterReply) []Effect {
	r, err := DecodeRoster(m.Value)
	if err != nil || r.Domain != e.opts.Domain {
		return nil
	}
	return e.adopt(now, r)
}

func (e *Enroller) adopt(now time.Time, r *Roster) []Effect {
	if r.Epoch <= e.epoch() {
		return nil
	}
	e.roster = r
	heard := make(map[identifier.Member]time.Time, len(r.Members))
	whole := make(map[identifier.Member]identifier.Epoch, len(r.Members))
	for _, entry := range r.Members {
		m := entry.Member
		heard[m] = now
		if last, ok := e.heard[m]; ok {
			heard[m] = last
		}
		whole[m] = e.whole[m]
	}
	e.heard, e.whole = heard, whole
	e.follow(r)
	effects := append([]Effect{Adopted{Roster: r}}, e.heartbeats()...)
	return append(effects, e.findGone(now)...)
}
