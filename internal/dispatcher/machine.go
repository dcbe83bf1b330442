// Package dispatcher decides for one entry VM how jobs are claimed, queued,
// placed and answered: it takes typed events, each with the time at which it
// happened, and returns typed effects.
//
// The entry VMs of a failure domain that hold the claims on its submissions are
// its roster; each change of the roster starts a new epoch. A claim is the right
// to run the job of a submission, and the record of it. In each epoch a submission
// has a home, the VM responsible for its claim, and, if the roster has another
// member, a witness, which must record the claim before the job starts. The VM that
// runs a job is the home to which its claim was granted, also after a later epoch
// has moved the home to another VM. See packages claimer and enroller.
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

// Machine is the dispatcher's state machine of one entry VM.
type Machine struct {
	opts        Options
	claimer     *claimer.Claimer
	placer      *placer.Placer
	limiter     *limiter.Limiter
	estimator   *estimator.Estimator
	quarantiner *quarantiner.Quarantiner
	effects     []Effect

	profiles          map[identifier.ProfileName]profileparser.Profile // nil: not known yet
	resumedAt         time.Time                                        // the end of the latest pause of this process
	profilesOutdated  bool                                             // the store may have later profiles since that pause
	platformReachable bool
	draining          bool
	recordsHandedOver bool // the claimer's records are on peers, as a shutdown requires
	drained           bool

	jobs         map[identifier.SubmissionID]*activeJob
	deadlines    deadlineHeap
	boundedWaits []identifier.SubmissionID                     // jobs with a waiter whose wait is bounded
	pendingStops map[identifier.BackendID][]identifier.TaskRef // to be sent at the next tick
	batchSize    int                                           // tasks to take from the queue at once

	addresses   map[identifier.BackendID]string
	listedSlots identifier.Slots // of all listed backend servers, reachable or not

	peers         map[identifier.Member]identifier.FailureDomain // linked peers
	unlinkedPeers map[identifier.Member]time.Time                // peers without a link, and when it was lost; their process may still run
	forwards      map[peermessenger.RequestNumber]*forward
	lastNumber    peermessenger.RequestNumber
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
		quarantiner:       quarantiner.New(quarantiner.Options{Rand: opts.Rand}),
		estimator:         estimator.New(estimator.Options{}),
		platformReachable: true,
		jobs:              make(map[identifier.SubmissionID]*activeJob),
		pendingStops:      make(map[identifier.BackendID][]identifier.TaskRef),
		addresses:         make(map[identifier.BackendID]string),
		batchSize:         minBatchSize,
		peers:             make(map[identifier.Member]identifier.FailureDomain),
		unlinkedPeers:     make(map[identifier.Member]time.Time),
		forwards:          make(map[peermessenger.RequestNumber]*forward),
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

// Step handles one event and returns its effects in the order in which they must
// be carried out. The slice is valid until the next call of Step.
func (m *Machine) Step(now time.Time, e Event) []Effect {
	m.effects = m.effects[:0]
	switch e := e.(type) {
	case SubmitRequested:
		m.submit(now, localCaller{e.Request}, e.Job, e.Wait, 0)
	case FetchRequested:
		m.fetch(now, localCaller{e.Request}, newFetchRequest(e))
	case CancelRequested:
		m.cancel(now, localCaller{e.Request}, newCancelRequest(e))
	case RequestAbandoned:
		m.dropWaiter(e)
	case PeerUp:
		m.handlePeerUp(now, e)
	case PeerDown:
		m.handlePeerDown(now, e)
	case PeerMessage:
		m.handlePeerMessage(now, e)
	case BackendsListed:
		m.setBackends(now, e.Backends)
	case BackendUsageReported:
		m.stepPlacer(now, placer.UsageReported{Backend: e.Backend, Used: e.Used, Leaving: e.Leaving})
	case ProfilesAdopted:
		m.profiles = e.Profiles
		m.setEvacuated(now, e.Evacuated)
	case ProfilesConfirmed:
		m.confirmProfiles(e.AsOf)
	case Resumed:
		m.checkProfiles(now)
	case RosterAdopted:
		m.stepClaimer(now, claimer.RosterAdopted{Roster: e.Roster})
	case MemberTerminated:
		m.handleMemberTerminated(now, e.Member)
	case PlatformReachable:
		m.platformReachable = e.Reachable
	case StartTaskFinished:
		m.handleStartTaskFinished(now, e)
	case DrainRequested:
		m.drain(now)
	case Tick:
		m.tick(now)
	default:
		panic(fmt.Sprintf("unknown event %T", e))
	}
	m.updateGauges()
	return m.effects
}

func (m *Machine) emit(e Effect) {
	m.effects = append(m.effects, e)
}

// updateGauges sets the counters of active jobs, queued and running tasks.
func (m *Machine) updateGauges() {
	m.opts.Counters.ActiveJobs.Store(int64(len(m.jobs)))
	m.opts.Counters.QueuedTasks.Store(int64(m.limiter.Queued()))
	m.opts.Counters.RunningTasks.Store(int64(m.limiter.Running()))
}
