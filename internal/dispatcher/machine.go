// Package dispatcher composes the decisions of one entry VM: it takes typed
// events with the time at which they happened and returns typed effects.
//
// A Machine is deterministic: it has no goroutine, socket, clock or random
// source of its own. It is not safe for concurrent use.
package dispatcher

import (
	"fmt"
	"time"

	"github.com/peppertrack/peppertrack/internal/claimer"
	"github.com/peppertrack/peppertrack/internal/estimator"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/limiter"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
	"github.com/peppertrack/peppertrack/internal/placer"
	"github.com/peppertrack/peppertrack/internal/profileparser"
	"github.com/peppertrack/peppertrack/internal/quarantiner"
)

// Machine holds the state of one entry VM's decisions.
type Machine struct {
	opts        Options
	claimer     *claimer.Claimer
	placer      *placer.Placer
	limiter     *limiter.Limiter
	estimator   *estimator.Estimator
	quarantiner *quarantiner.Quarantiner
	effects     []Effect

	profiles       map[identifier.ProfileName]profileparser.Profile // nil: not known yet
	storeReachable bool
	draining       bool
	handedOver     bool // of the claims' records, for a shutdown
	drained        bool

	jobs      map[identifier.SubmissionID]*runningJob
	deadlines deadlineHeap
	waits     []identifier.SubmissionID                     // jobs with a waiter whose wait is bounded
	stops     map[identifier.BackendID][]identifier.TaskRef // to be sent at the next tick
	batch     int                                           // tasks taken from the queue at one time

	addresses   map[identifier.BackendID]string
	listedSlots identifier.Slots // of all listed backend servers, whether they can be reached or not

	peers    map[identifier.Member]identifier.FailureDomain // linked
	lost     map[identifier.Member]time.Time                // not linked any more, not known to have ended; since when
	forwards map[peermessenger.RequestNumber]*forward
	number   peermessenger.RequestNumber
}

// New returns a Machine without backend servers, profiles and peers.
func New(opts Options) *Machine {
	return &Machine{
		opts: opts,
		placer: placer.New(placer.Options{
			Self:   opts.Self,
			Domain: opts.Domain,
			Rand:   opts.Rand,
		}),
		limiter: limiter.New(limiter.Options{
			Self:     opts.Self,
			Rand:     opts.Rand,
			MaxTasks: opts.MaxQueuedTasks,
		}),
		quarantiner:    quarantiner.New(quarantiner.Options{Rand: opts.Rand}),
		estimator:      estimator.New(estimator.Options{}),
		storeReachable: true,
		jobs:           make(map[identifier.SubmissionID]*runningJob),
		stops:          make(map[identifier.BackendID][]identifier.TaskRef),
		addresses:      make(map[identifier.BackendID]string),
		batch:          firstBatch,
		peers:          make(map[identifier.Member]identifier.FailureDomain),
		lost:           make(map[identifier.Member]time.Time),
		forwards:       make(map[peermessenger.RequestNumber]*forward),
		claimer: claimer.New(claimer.Options{
			Self:       opts.Self,
			Domain:     opts.Domain,
			Retention:  opts.Retention,
			ClockBound: opts.ClockBound,
			MaxRecords: opts.MaxRecords,

			ClaimTimeout: claimTimeout,
		}),
	}
}

// Step takes one event and returns its effects, in the order in which they
// should be carried out. The slice is valid until the next call.
func (m *Machine) Step(now time.Time, e Event) []Effect {
	m.effects = m.effects[:0]
	switch e := e.(type) {
	case SubmitAsked:
		m.submit(now, localCaller{e.Request}, e.Job, e.Wait, 0)
	case FetchAsked:
		m.fetch(now, localCaller{e.Request}, fetchOf(e))
	case CancelAsked:
		m.cancel(now, localCaller{e.Request}, cancelOf(e))
	case RequestGone:
		m.dropWaiter(e)
	case PeerUp:
		m.peerUp(now, e)
	case PeerDown:
		m.peerDown(now, e)
	case PeerReceived:
		m.peerReceived(now, e)
	case BackendsListed:
		m.setBackends(now, e.Backends)
	case BackendUsage:
		m.placerStep(now, placer.UsageReported{Backend: e.Backend, Used: e.Used, Leaving: e.Leaving})
	case ProfilesAdopted:
		m.profiles = e.Profiles
	case RosterAdopted:
		m.claimerStep(now, claimer.RosterAdopted{Roster: e.Roster})
	case MemberGone:
		m.memberGone(now, e.Member)
	case StoreReachable:
		m.storeReachable = e.Reachable
	case StartEnded:
		m.startEnded(now, e)
	case DrainAsked:
		m.drain(now)
	case Tick:
		m.tick(now)
	default:
		panic(fmt.Sprintf("unknown event %T", e))
	}
	m.publish()
	return m.effects
}

func (m *Machine) emit(e Effect) {
	m.effects = append(m.effects, e)
}

// publish brings the gauges up to date.
func (m *Machine) publish() {
	m.opts.Counters.RunningJobs.Store(int64(len(m.jobs)))
	m.opts.Counters.QueuedTasks.Store(int64(m.limiter.Queued()))
	m.opts.Counters.RunningTasks.Store(int64(m.limiter.Running()))
}
