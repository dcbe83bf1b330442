package repeater

import (
	"fmt"
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// simServer is a backend server that behaves as the platform's documentation
// says.
type simServer struct {
	Server
	sim            *simulation
	index          int
	startedAt      time.Time
	clockRate      float64 // of its clock, relative to real time
	down           bool
	refuses        bool         // while down, it refuses connections; otherwise it is silent
	cutFrom        map[int]bool // VMs that can't reach it
	token          identifier.FencingToken
	leaseEnd       ServerTime
	runs           map[identifier.RunRef]*simRun
	supersededUpTo map[identifier.TaskRef]identifier.RunNumber
	ended          []EndedRun
	lastEndNumber  uint64
	openPolls      []*simPoll
	stalls         bool
	slowness       float64 // factor on run times; 0 is the usual one

	earlierCapacities []simCapacity // that its process has reported before Cores
}

type simRun struct {
	ref      identifier.RunRef
	cores    identifier.Millicores
	started  time.Time
	runTime  time.Duration
	stopping bool
	stalled  bool
	finished bool
}

type simPoll struct {
	answer   func()
	reset    func() // ends the poll's connection
	answered bool
}

func newSimServer(sim *simulation, i int) *simServer {
	s := &simServer{
		Server: Server{
			ID: identifier.BackendID(fmt.Sprintf("s-%02d", i)), Address: "-", Pool: simPool, Domain: sim.domain(i),
			Cores: simCores, Memory: 65536,
		},
		sim: sim, index: i, clockRate: 1 - sim.rand.Float64()*clockDrift, cutFrom: make(map[int]bool),
	}
	s.restart()
	return s
}

// restart starts a new process without any state.
func (s *simServer) restart() {
	for _, r := range s.runs {
		r.finished = true
	}
	s.startedAt = s.sim.now
	s.token, s.leaseEnd, s.lastEndNumber = 0, 0, 0
	s.runs = make(map[identifier.RunRef]*simRun)
	s.supersededUpTo = make(map[identifier.TaskRef]identifier.RunNumber)
	s.ended = nil
	s.openPolls = nil
	if s.sim.cfg.unguarded {
		s.register()
	}
}

func (s *simServer) time() ServerTime {
	return ServerTime(float64(s.sim.now.Sub(s.startedAt))*s.clockRate) + ServerTime(time.Second)
}

func (s *simServer) clock() ServerClock {
	return ServerClock{Known: true, Now: s.time(), Generation: identifier.Generation(s.startedAt.UnixNano())}
}

// extendLease extends the server's lease to the expiry of a call.
func (s *simServer) extendLease(expires ServerTime) {
	if expires == 0 {
		return
	}
	s.leaseEnd = max(s.leaseEnd, min(expires, s.time()+ServerTime(simLease)))
	s.scheduleLapse()
}

// scheduleLapse schedules the end of all runs for when the lease lapses.
func (s *simServer) scheduleLapse() {
	left := time.Duration(float64(s.leaseEnd-s.time())/s.clockRate) + time.Microsecond
	startedAt := s.startedAt
	s.sim.schedule(max(left, 0), func() {
		if s.startedAt != startedAt || s.time() < s.leaseEnd {
			return
		}
		for _, r := range s.sortedRuns() {
			s.endRun(r, EndLapsed)
		}
	})
}

func (s *simServer) sortedRuns() []*simRun {
	var list []*simRun
	for _, r := range s.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *simRun) int {
		if a.ref.Task.Submission != b.ref.Task.Submission {
			if a.ref.Task.Submission < b.ref.Task.Submission {
				return -1
			}
			return 1
		}
		return int(a.ref.Task.Index) - int(b.ref.Task.Index)
	})
	return list
}

func (s *simServer) endRun(r *simRun, how RunEndKind) {
	if r.finished {
		return
	}
	r.finished = true
	if s.sim.verbose {
		s.sim.tracef("  %s ends %v as %d", s.ID, r.ref, how)
	}
	delete(s.runs, r.ref)
	s.supersededUpTo[r.ref.Task] = max(s.supersededUpTo[r.ref.Task], r.ref.Number)
	s.lastEndNumber++
	s.ended = append(s.ended, EndedRun{Sequence: s.lastEndNumber, Run: r.ref, Ending: how})
	polls := s.openPolls
	s.openPolls = nil
	for _, p := range polls {
		if !p.answered {
			p.answered = true
			p.answer()
		}
	}
}

func (s *simServer) rejectToken(token identifier.FencingToken) bool {
	if token < s.token && s.sim.cfg.defect != noFencing {
		return true
	}
	s.token = token
	return false
}

// start handles a StartRun.
func (s *simServer) start(call StartRun) StartResult {
	if s.rejectToken(call.Token) {
		return StartFenced
	}
	if call.Expires <= s.time() && s.sim.cfg.defect != noExpiry {
		return StartExpired
	}
	call.Run = call.Run.OnServer()
	if s.runs[call.Run] != nil {
		s.extendLease(call.Expires)
		return StartAccepted
	}
	if call.Run.Number <= s.supersededUpTo[call.Run.Task] {
		s.extendLease(call.Expires)
		return StartSuperseded
	}
	cores := s.sim.jobOf(call.Run.Task).cores
	free := s.Cores
	for _, r := range s.runs {
		free -= r.cores
	}
	s.extendLease(call.Expires)
	if free < cores && !s.sim.cfg.unguarded {
		return StartNoRoom
	}
	r := &simRun{ref: call.Run, cores: cores, started: s.sim.now, runTime: s.sim.jobOf(call.Run.Task).runTime}
	if s.slowness > 0 {
		r.runTime = time.Duration(float64(r.runTime) * s.slowness)
	}
	if disturbance := s.sim.cfg.disturbance; disturbance != nil {
		for _, other := range s.runs {
			r.runTime = time.Duration(float64(r.runTime) * disturbance(s.sim.jobOf(r.ref.Task).route, s.sim.jobOf(other.ref.Task).route))
		}
	}
	s.runs[call.Run] = r
	s.sim.checkStart(s, r)
	if s.sim.cfg.unguarded {
		s.checkCapacity()
	}
	if s.sim.jobOf(r.ref.Task).crashesServer(r.ref.Task.Index) {
		s.sim.schedule(simCrashDelay, func() { s.crashUnder(r) })
	}
	how := EndDone
	if s.sim.chance(s.sim.cfg.failedRuns) {
		how = EndFailed
	}
	r.stalled = s.stalls
	if !r.stalled {
		s.sim.schedule(r.runTime, func() { s.endRun(r, how) })
	}
	return StartAccepted
}

func (s *simServer) stop(call StopRun) StopResult {
	if s.rejectToken(call.Token) {
		return StopFenced
	}
	s.supersededUpTo[call.Run.Task] = max(s.supersededUpTo[call.Run.Task], call.Run.Number)
	if r := s.runs[call.Run.OnServer()]; r != nil && !r.stopping {
		r.stopping = true
		s.sim.schedule(s.sim.randomDuration(0, simMaxStopTime), func() { s.endRun(r, EndStopped) })
	}
	return StopAccepted
}

func (s *simServer) listRuns(call Poll) PollResult {
	var result PollResult
	result.Status = PollOK
	s.ended = slices.DeleteFunc(s.ended, func(e EndedRun) bool { return e.Sequence <= call.LastSeenEnd })
	result.Ended = slices.Clone(s.ended)
	for _, r := range s.sortedRuns() {
		progress := float64(s.sim.now.Sub(r.started)) / float64(r.runTime)
		if r.stalled {
			progress = 0
		}
		result.Active = append(result.Active, ActiveRun{Run: r.ref, Progress: progress})
	}
	return result
}

// callServer simulates a call and its answer. The call may be late or not
// arrive, and the answer may be lost. Without an answer within limit, lost is
// called, and earlier if the server refuses the connection.
func (sim *simulation) callServer(vm *simVM, server Server, limit time.Duration, call func(s *simServer) (answer func()), lost func(refused bool)) {
	s := sim.servers[sim.serverIndex(server.ID)]
	process := vm.process
	answered := false
	sim.schedule(limit, func() {
		if !answered && vm.process == process {
			answered = true
			lost(false)
		}
	})
	if s.cutFrom[vm.index] {
		return
	}
	if s.down {
		if s.refuses {
			sim.schedule(simRefusalTime, func() {
				if !answered && vm.process == process {
					answered = true
					lost(true)
				}
			})
		}
		return
	}
	delay := sim.randomDuration(150*time.Microsecond, 1500*time.Microsecond)
	late := sim.chance(sim.cfg.lateCalls)
	if late {
		delay = sim.randomDuration(2*time.Second, 6*time.Second)
	}
	startedAt := s.startedAt
	sim.schedule(delay, func() {
		if s.down || s.startedAt != startedAt {
			return
		}
		answer := call(s)
		if late || sim.chance(sim.cfg.lostAnswers) || answer == nil {
			return
		}
		sim.schedule(sim.randomDuration(150*time.Microsecond, 1500*time.Microsecond), func() {
			if answered || vm.process != process || s.cutFrom[vm.index] {
				return
			}
			answered = true
			answer()
		})
	})
}

func (sim *simulation) serverIndex(id identifier.BackendID) int {
	return slices.IndexFunc(sim.servers, func(s *simServer) bool { return s.ID == id })
}

func (sim *simulation) callStart(vm *simVM, call StartRun) {
	sim.callServer(vm, call.Server, call.Timeout, func(s *simServer) func() {
		result := s.start(call)
		if result == StartAccepted && sim.evacuations != nil {
			sim.evacuations.checkStart(vm, s)
		}
		clock := s.clock()
		return func() { vm.step(StartAnswered{Call: call.Call, Result: result, Clock: clock}) }
	}, func(refused bool) {
		result := StartUnanswered
		if refused {
			result = StartNotSent
		}
		vm.step(StartAnswered{Call: call.Call, Result: result})
	})
}

func (sim *simulation) callStop(vm *simVM, call StopRun) {
	sim.callServer(vm, call.Server, call.Timeout, func(s *simServer) func() {
		result := s.stop(call)
		clock := s.clock()
		return func() { vm.step(StopAnswered{Call: call.Call, Result: result, Clock: clock}) }
	}, func(bool) { vm.step(StopAnswered{Call: call.Call, Result: StopUnanswered}) })
}

func (sim *simulation) callPoll(vm *simVM, call Poll) {
	s := sim.servers[sim.serverIndex(call.Server.ID)]
	process := vm.process
	answered := false
	finish := func(result PollResult, clock ServerClock) {
		if answered || vm.process != process {
			return
		}
		answered = true
		vm.step(PollAnswered{Call: call.Call, Result: result, Clock: clock})
	}
	sim.schedule(call.Timeout, func() { finish(PollResult{Status: PollUnanswered}, ServerClock{}) })
	if s.cutFrom[vm.index] {
		return
	}
	if s.down {
		if s.refuses {
			sim.schedule(simRefusalTime, func() { finish(PollResult{Status: PollRefused}, ServerClock{}) })
		}
		return
	}
	startedAt := s.startedAt
	if sim.cfg.latePolls > 0 && sim.chance(sim.cfg.latePolls) {
		sim.schedule(sim.randomDuration(2*time.Second, 6*time.Second), func() {
			if !s.down && s.startedAt.Equal(startedAt) && !s.rejectToken(call.Token) {
				s.extendLease(call.Expires)
			}
		})
		return
	}
	sim.schedule(sim.randomDuration(150*time.Microsecond, 1500*time.Microsecond), func() {
		if s.down || s.startedAt != startedAt {
			return
		}
		if s.rejectToken(call.Token) {
			sim.schedule(time.Millisecond, func() { finish(PollResult{Status: PollFenced}, s.clock()) })
			return
		}
		s.extendLease(call.Expires)
		p := &simPoll{reset: func() { finish(PollResult{Status: PollUnanswered}, ServerClock{}) }}
		p.answer = func() {
			result, clock := s.listRuns(call), s.clock()
			sim.schedule(sim.randomDuration(150*time.Microsecond, 1500*time.Microsecond), func() {
				if !s.cutFrom[vm.index] {
					finish(result, clock)
				}
			})
		}
		if call.Wait == 0 || len(s.ended) > 0 && s.ended[len(s.ended)-1].Sequence > call.LastSeenEnd {
			p.answered = true
			p.answer()
			return
		}
		s.openPolls = append(s.openPolls, p)
		sim.schedule(call.Wait, func() {
			if !p.answered {
				p.answered = true
				p.answer()
			}
		})
	})
}
