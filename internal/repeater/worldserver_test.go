package repeater

import (
	"fmt"
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// worldServer is a backend server that keeps to the platform's pages.
type worldServer struct {
	Server
	w        *world
	index    int
	born     time.Time
	rate     float64 // of its clock against real time
	down     bool
	silent   map[int]bool // VMs that it can't be reached by
	token    identifier.FencingToken
	leaseEnd ServerTime
	runs     map[identifier.RunRef]*worldRun
	barred   map[identifier.TaskRef]identifier.RunNumber
	ended    []EndedRun
	lastEnd  uint64
	waiting  []*worldLook
	stalls   bool
	slowness float64 // run times against those of others; 0 is usual
}

type worldRun struct {
	ref      identifier.RunRef
	cores    identifier.Millicores
	started  time.Time
	length   time.Duration
	stopping bool
	stalled  bool
	over     bool
}

type worldLook struct {
	done func()
	over bool
}

func newWorldServer(w *world, i int) *worldServer {
	s := &worldServer{
		Server: Server{
			ID: identifier.BackendID(fmt.Sprintf("s-%02d", i)), Address: "-", Pool: worldPool, Domain: w.domain(i),
			Cores: worldCores, Memory: 65536,
		},
		w: w, index: i, rate: 1 - w.rand.Float64()*clockDrift, silent: make(map[int]bool),
	}
	s.restart()
	return s
}

// restart begins a new process that knows nothing.
func (s *worldServer) restart() {
	for _, r := range s.runs {
		r.over = true
	}
	s.born = s.w.now
	s.token, s.leaseEnd, s.lastEnd = 0, 0, 0
	s.runs = make(map[identifier.RunRef]*worldRun)
	s.barred = make(map[identifier.TaskRef]identifier.RunNumber)
	s.ended = nil
	s.waiting = nil
}

func (s *worldServer) time() ServerTime {
	return ServerTime(float64(s.w.now.Sub(s.born))*s.rate) + ServerTime(time.Second)
}

func (s *worldServer) clock() ServerClock {
	return ServerClock{Known: true, Now: s.time(), Generation: identifier.Generation(s.born.UnixNano())}
}

// extend takes the expiry of an order over for all that runs.
func (s *worldServer) extend(expires ServerTime) {
	if expires == 0 {
		return
	}
	s.leaseEnd = max(s.leaseEnd, min(expires, s.time()+ServerTime(worldLease)))
	s.checkLease()
}

// checkLease kills everything when the lease has run out.
func (s *worldServer) checkLease() {
	left := time.Duration(float64(s.leaseEnd-s.time())/s.rate) + time.Microsecond
	born := s.born
	s.w.after(max(left, 0), func() {
		if s.born != born || s.time() < s.leaseEnd {
			return
		}
		for _, r := range s.sorted() {
			s.end(r, EndLapsed)
		}
	})
}

func (s *worldServer) sorted() []*worldRun {
	var list []*worldRun
	for _, r := range s.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *worldRun) int {
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

func (s *worldServer) end(r *worldRun, how RunEnd) {
	if r.over {
		return
	}
	r.over = true
	if s.w.verbose {
		s.w.note("  %s ends %v as %d", s.ID, r.ref, how)
	}
	delete(s.runs, r.ref)
	s.barred[r.ref.Task] = max(s.barred[r.ref.Task], r.ref.Number)
	s.lastEnd++
	s.ended = append(s.ended, EndedRun{Number: s.lastEnd, Run: r.ref, Ending: how})
	waiting := s.waiting
	s.waiting = nil
	for _, l := range waiting {
		if !l.over {
			l.over = true
			l.done()
		}
	}
}

func (s *worldServer) fenced(token identifier.FencingToken) bool {
	if token < s.token && s.w.cfg.defect != noFencing {
		return true
	}
	s.token = token
	return false
}

// start carries an order out.
func (s *worldServer) start(o StartRun) StartResult {
	if s.fenced(o.Token) {
		return StartFenced
	}
	if o.Expires <= s.time() && s.w.cfg.defect != noExpiry {
		return StartExpired
	}
	o.Run = o.Run.OnServer()
	if s.runs[o.Run] != nil {
		s.extend(o.Expires)
		return StartAccepted
	}
	if o.Run.Number <= s.barred[o.Run.Task] {
		s.extend(o.Expires)
		return StartSuperseded
	}
	cores := s.w.jobOf(o.Run.Task).cores
	free := s.Cores
	for _, r := range s.runs {
		free -= r.cores
	}
	s.extend(o.Expires)
	if free < cores {
		return StartNoRoom
	}
	r := &worldRun{ref: o.Run, cores: cores, started: s.w.now, length: s.w.jobOf(o.Run.Task).length}
	if s.slowness > 0 {
		r.length = time.Duration(float64(r.length) * s.slowness)
	}
	s.runs[o.Run] = r
	s.w.started(s, r)
	how := EndDone
	if s.w.chance(s.w.cfg.badRuns) {
		how = EndFailed
	}
	r.stalled = s.stalls
	if !r.stalled {
		s.w.after(r.length, func() { s.end(r, how) })
	}
	return StartAccepted
}

func (s *worldServer) stop(o StopRun) StopResult {
	if s.fenced(o.Token) {
		return StopFenced
	}
	s.barred[o.Run.Task] = max(s.barred[o.Run.Task], o.Run.Number)
	if r := s.runs[o.Run.OnServer()]; r != nil && !r.stopping {
		r.stopping = true
		s.w.after(s.w.between(0, worldStopTime), func() { s.end(r, EndStopped) })
	}
	return StopAccepted
}

func (s *worldServer) look(o Look) LookResult {
	var result LookResult
	result.Status = LookOK
	s.ended = slices.DeleteFunc(s.ended, func(e EndedRun) bool { return e.Number <= o.Observed })
	result.Ended = slices.Clone(s.ended)
	for _, r := range s.sorted() {
		progress := float64(s.w.now.Sub(r.started)) / float64(r.length)
		if r.stalled {
			progress = 0
		}
		result.Active = append(result.Active, RunState{Run: r.ref, Progress: progress})
	}
	return result
}

// reach plays a call: it arrives, and its answer comes back, unless the server
// is cut off, down, late, or the answer is lost.
func (w *world) reach(vm *worldVM, server Server, limit time.Duration, call func(s *worldServer) (answer func()), lost func()) {
	s := w.servers[w.serverIndex(server.ID)]
	life := vm.life
	answered := false
	w.after(limit, func() {
		if !answered && vm.life == life {
			answered = true
			lost()
		}
	})
	if s.silent[vm.index] || s.down {
		return
	}
	delay := w.between(150*time.Microsecond, 1500*time.Microsecond)
	late := w.chance(w.cfg.lateOrders)
	if late {
		delay = w.between(2*time.Second, 6*time.Second)
	}
	born := s.born
	w.after(delay, func() {
		if s.down || s.born != born {
			return
		}
		answer := call(s)
		if late || w.chance(w.cfg.lostAnswers) || answer == nil {
			return
		}
		w.after(w.between(150*time.Microsecond, 1500*time.Microsecond), func() {
			if answered || vm.life != life || s.silent[vm.index] {
				return
			}
			answered = true
			answer()
		})
	})
}

func (w *world) serverIndex(id identifier.BackendID) int {
	return slices.IndexFunc(w.servers, func(s *worldServer) bool { return s.ID == id })
}

func (w *world) orderStart(vm *worldVM, o StartRun) {
	w.reach(vm, o.Server, 100*time.Millisecond, func(s *worldServer) func() {
		result := s.start(o)
		clock := s.clock()
		return func() { vm.step(StartAnswered{Order: o.Order, Result: result, Clock: clock}) }
	}, func() { vm.step(StartAnswered{Order: o.Order, Result: StartUnanswered}) })
}

func (w *world) orderStop(vm *worldVM, o StopRun) {
	w.reach(vm, o.Server, 250*time.Millisecond, func(s *worldServer) func() {
		result := s.stop(o)
		clock := s.clock()
		return func() { vm.step(StopAnswered{Order: o.Order, Result: result, Clock: clock}) }
	}, func() { vm.step(StopAnswered{Order: o.Order, Result: StopUnanswered}) })
}

func (w *world) orderLook(vm *worldVM, o Look) {
	s := w.servers[w.serverIndex(o.Server.ID)]
	life := vm.life
	answered := false
	finish := func(result LookResult, clock ServerClock) {
		if answered || vm.life != life {
			return
		}
		answered = true
		vm.step(LookAnswered{Order: o.Order, Result: result, Clock: clock})
	}
	w.after(o.Wait+200*time.Millisecond, func() { finish(LookResult{Status: LookUnanswered}, ServerClock{}) })
	if s.silent[vm.index] || s.down {
		return
	}
	born := s.born
	if w.cfg.lateLooks > 0 && w.chance(w.cfg.lateLooks) {
		w.after(w.between(2*time.Second, 6*time.Second), func() {
			if !s.down && s.born.Equal(born) && !s.fenced(o.Token) {
				s.extend(o.Expires)
			}
		})
		return
	}
	w.after(w.between(150*time.Microsecond, 1500*time.Microsecond), func() {
		if s.down || s.born != born {
			return
		}
		if s.fenced(o.Token) {
			w.after(time.Millisecond, func() { finish(LookResult{Status: LookFenced}, s.clock()) })
			return
		}
		s.extend(o.Expires)
		l := &worldLook{}
		l.done = func() {
			result, clock := s.look(o), s.clock()
			w.after(w.between(150*time.Microsecond, 1500*time.Microsecond), func() {
				if !s.silent[vm.index] {
					finish(result, clock)
				}
			})
		}
		if o.Wait == 0 || len(s.ended) > 0 && s.ended[len(s.ended)-1].Number > o.Observed {
			l.over = true
			l.done()
			return
		}
		s.waiting = append(s.waiting, l)
		w.after(o.Wait, func() {
			if !l.over {
				l.over = true
				l.done()
			}
		})
	})
}
