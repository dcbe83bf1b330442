package claimer

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/enroller"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// chooser makes the choices of a history: a rapid test or a seeded generator.
type chooser interface {
	choose(label string, n int) int // from 0 to n-1
}

const (
	worldDomain     = "perth-a"
	worldRetention  = 20 * time.Second
	worldClockBound = 400 * time.Millisecond
	maxHops         = 8
	maxInFlight     = 400
	listLag         = time.Second // the longest lag of the platform's list
)

// packet is a message under way.
type packet struct {
	from, to identifier.Member
	data     []byte
	ask      *worldAsk // instead of data: an ask that is forwarded
	old      bool      // overtaken by a later packet
}

// worldAsk is one attempt of a client.
type worldAsk struct {
	id       identifier.SubmissionID
	digest   identifier.Digest
	created  time.Time
	hops     int
	answered bool // or lost with a process or a link
}

type worldJob struct {
	digest  identifier.Digest
	started bool
}

// process is one incarnation on a VM.
type process struct {
	member   identifier.Member
	enroller *enroller.Enroller
	claimer  *Claimer
	offset   time.Duration // of its clock
	dead     bool
	paused   bool
	deaf     bool    // roster messages to it are lost
	held     *packet // received before the pause, to be handled with the time read before it
	heldNow  time.Time
	storeOp  enroller.Effect
	asks     map[identifier.SubmissionID][]*worldAsk
	jobs     map[identifier.SubmissionID]*worldJob
	draining bool
	drained  bool
	epoch    identifier.Epoch
}

type link struct{ a, b identifier.VMID }

// world is a failure domain whose processes run the real decision cores.
type world struct {
	pick        chooser
	defects     defects
	now         time.Time
	processes   []*process // in the order of their start; dead ones stay
	vms         []identifier.VMID
	deleted     map[identifier.VMID]bool
	lists       []vmListing
	packets     []*packet
	cuts        map[link]bool
	storeCuts   map[identifier.VMID]bool
	storeDown   bool
	value       []byte
	revision    enroller.Revision
	lateWrites  []enroller.SwapRoster
	asks        []*worldAsk
	ids         []worldID
	starts      map[identifier.SubmissionID]int
	startedBy   map[identifier.SubmissionID]*process
	answers     map[identifier.SubmissionID]declarer.Ending
	incarnation identifier.Incarnation
	reached     map[string]int
	trace       []string // of a session that is compared with a golden file
	tracing     bool
	violation   string
}

type worldID struct {
	id      identifier.SubmissionID
	created time.Time
}

func newWorld(pick chooser, vms int, d defects) *world {
	w := &world{
		pick:      pick,
		defects:   d,
		now:       start,
		deleted:   map[identifier.VMID]bool{},
		cuts:      map[link]bool{},
		storeCuts: map[identifier.VMID]bool{},
		starts:    map[identifier.SubmissionID]int{},
		startedBy: map[identifier.SubmissionID]*process{},
		answers:   map[identifier.SubmissionID]declarer.Ending{},
		reached:   map[string]int{},
	}
	for i := range vms {
		w.addVM(identifier.VMID(fmt.Sprintf("vm%d", i)))
	}
	return w
}

func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

func (w *world) note(format string, args ...any) {
	if w.tracing {
		at := w.now.Sub(start).Milliseconds()
		w.trace = append(w.trace, fmt.Sprintf("%6d ms  ", at)+fmt.Sprintf(format, args...))
	}
}

func (w *world) addVM(vm identifier.VMID) {
	w.vms = append(w.vms, vm)
	w.list()
	w.boot(vm, 0)
}

// list appends a revision of the platform's list.
func (w *world) list() {
	var vms []identifier.VMID
	for _, vm := range w.vms {
		if !w.deleted[vm] {
			vms = append(vms, vm)
		}
	}
	w.lists = append(w.lists, vmListing{since: w.now, vms: vms})
}

// vmListing is the platform's list from a time on.
type vmListing struct {
	since time.Time
	vms   []identifier.VMID
}

func (w *world) boot(vm identifier.VMID, offset time.Duration) *process {
	w.incarnation++
	m := identifier.Member{VM: vm, Incarnation: w.incarnation}
	p := &process{
		member: m,
		offset: offset,
		asks:   map[identifier.SubmissionID][]*worldAsk{},
		jobs:   map[identifier.SubmissionID]*worldJob{},
		enroller: enroller.New(enroller.Options{
			Domain:            worldDomain,
			Self:              m,
			Address:           string(vm),
			HeartbeatInterval: 300 * time.Millisecond,
			SuspectAfter:      1500 * time.Millisecond,
			GoneAfter:         listLag + 2*worldClockBound + time.Millisecond,
			ListWait:          2 * time.Second,
			RetryBase:         100 * time.Millisecond,
			RetryMax:          400 * time.Millisecond,
			Rand:              rand.New(rand.NewPCG(uint64(m.Incarnation), 1)),
		}),
		claimer: New(Options{
			Self:         m,
			Domain:       worldDomain,
			Retention:    worldRetention,
			ClockBound:   worldClockBound,
			ClaimTimeout: time.Second,
			Resend:       100 * time.Millisecond,
			PageRecords:  2,
			SmallEnding:  64,
			MaxRecords:   200,
			MaxEndings:   400,
			defects:      w.defects,
		}),
	}
	w.processes = append(w.processes, p)
	w.note("%s boots", m)
	w.readList(p, 0)
	return p
}

func (w *world) find(m identifier.Member) *process {
	for _, p := range w.processes {
		if p.member == m {
			return p
		}
	}
	return nil
}

// running returns the processes that are neither dead nor paused.
func (w *world) running() (running []*process) {
	for _, p := range w.processes {
		if !p.dead && !p.paused {
			running = append(running, p)
		}
	}
	return running
}

func (w *world) alive() (alive []*process) {
	for _, p := range w.processes {
		if !p.dead {
			alive = append(alive, p)
		}
	}
	return alive
}

// clock returns what a process reads from its clock now.
func (w *world) clock(p *process) time.Time { return w.now.Add(p.offset) }

func (w *world) stepEnroller(p *process, now time.Time, e enroller.Event) {
	for _, effect := range p.enroller.Step(now, e) {
		switch effect := effect.(type) {
		case enroller.Send:
			w.post(p, effect.To, effect.Message)
		case enroller.Adopted:
			if p.epoch > 0 && effect.Roster.Epoch > p.epoch+1 {
				w.reached["epochSkipped"]++
			}
			p.epoch = effect.Roster.Epoch
			w.note("%s adopts epoch %d: %s", p.member, p.epoch, describeRoster(effect.Roster))
			w.stepClaimer(p, now, RosterAdopted{effect.Roster})
		case enroller.MemberGone:
			if gone := w.find(effect.Member); gone == nil || !gone.dead {
				w.fail("%s is said to be gone and is alive", effect.Member)
			}
			w.stepClaimer(p, now, GoneProved{effect.Member})
		default:
			p.storeOp = effect
		}
	}
}

func describeRoster(r *enroller.Roster) (s string) {
	for _, m := range r.Members {
		s += " " + m.Member.String()
		if m.Leaving {
			s += "(leaving)"
		}
	}
	return s[1:]
}

func (w *world) stepClaimer(p *process, now time.Time, e Event) {
	for _, effect := range p.claimer.Step(now, e) {
		switch effect := effect.(type) {
		case Send:
			w.post(p, effect.To, effect.Message)
		case RecordsWhole:
			w.note("%s is whole in epoch %d", p.member, effect.Epoch)
			w.stepEnroller(p, now, enroller.RecordsWhole{Epoch: effect.Epoch})
		case EpochHeard:
			w.stepEnroller(p, now, enroller.EpochHeard{From: effect.From, Epoch: effect.Epoch})
		case Drained:
			w.note("%s is drained", p.member)
			p.drained = true
		case ClaimGranted:
			w.granted(p, effect)
		case ClaimJoined:
			if p.jobs[effect.Submission] == nil {
				w.fail("%s joined at %s, where it does not run", effect.Submission, p.member)
			}
			w.note("%s joins %s", p.member, effect.Submission)
		case ClaimDenied:
			w.answerAll(p, effect.Submission, effect.Digest, effect.Ending)
		case ClaimForward:
			w.forward(p, effect)
		}
	}
}

func (w *world) granted(p *process, e ClaimGranted) {
	w.note("%s grants %s", p.member, e.Submission)
	if p.jobs[e.Submission] != nil {
		w.fail("%s granted twice at %s", e.Submission, p.member)
	}
	if len(matching(p.asks[e.Submission], e.Digest)) == 0 {
		w.fail("%s granted at %s with no ask", e.Submission, p.member)
	}
	p.jobs[e.Submission] = &worldJob{digest: e.Digest}
}

func matching(asks []*worldAsk, digest identifier.Digest) (m []*worldAsk) {
	for _, a := range asks {
		if a.digest == digest {
			m = append(m, a)
		}
	}
	return m
}

// take removes and returns the asks of a submission with a digest.
func (p *process) take(id identifier.SubmissionID, digest identifier.Digest) []*worldAsk {
	taken := matching(p.asks[id], digest)
	p.asks[id] = slices.DeleteFunc(p.asks[id], func(a *worldAsk) bool { return a.digest == digest })
	return taken
}

func (w *world) forward(p *process, e ClaimForward) {
	w.note("%s forwards %s to %s", p.member, e.Submission, e.To)
	for _, a := range p.take(e.Submission, e.Digest) {
		a.hops++
		if a.hops > maxHops {
			a.answered = true // its dispatcher says unverifiable
			continue
		}
		w.packets = append(w.packets, &packet{from: p.member, to: e.To, ask: a})
	}
}

func (w *world) answerAll(p *process, id identifier.SubmissionID, digest identifier.Digest, ending declarer.Ending) {
	for _, a := range p.take(id, digest) {
		a.answered = true
		w.answer(p, a, ending)
	}
}

// answer checks the answer of one ask against the earlier ones.
func (w *world) answer(p *process, a *worldAsk, ending declarer.Ending) {
	w.note("%s answers %s: %s", p.member, a.id, describeEnding(ending))
	w.reached["ending:"+describeEnding(ending)]++
	switch e := ending.(type) {
	case declarer.Refused:
		if w.starts[a.id] > 0 {
			w.fail("%s refused as not run at %s; it was started", a.id, p.member)
		}
		return
	case declarer.Unverifiable:
		return
	case declarer.Complete:
		if len(e.Outputs) != 1 || string(e.Outputs[0]) != output(a.id, a.digest) {
			w.fail("%s got the answer of another submission", a.id)
		}
	}
	w.checkStable(a.id, ending)
}

func (w *world) checkStable(id identifier.SubmissionID, ending declarer.Ending) {
	if w.starts[id] == 0 && !isRunnerLost(ending) {
		w.fail("%s answered %s and never started", id, describeEnding(ending))
	}
	earlier, ok := w.answers[id]
	w.answers[id] = ending
	if !ok || describeEnding(earlier) == describeEnding(ending) {
		return
	}
	runner := w.startedBy[id]
	if isRunnerLost(ending) && runner != nil && runner.dead {
		return // the answer had not left its runner when that died
	}
	w.fail("%s answered %s, earlier %s", id, describeEnding(ending), describeEnding(earlier))
}

func isRunnerLost(ending declarer.Ending) bool {
	failed, ok := ending.(declarer.Failed)
	return ok && failed.Cause == declarer.RunnerLost
}

func describeEnding(ending declarer.Ending) string {
	switch e := ending.(type) {
	case declarer.Complete:
		return "complete"
	case declarer.Failed:
		return "failed, " + string(e.Cause)
	case declarer.Refused:
		return "refused, " + string(e.Cause)
	case declarer.Unverifiable:
		return "unverifiable, " + string(e.Cause)
	}
	return "none"
}

func output(id identifier.SubmissionID, digest identifier.Digest) string {
	pad := ""
	if xor := id[len(id)-1]; xor%2 == 0 {
		pad = " with an output that is larger than a witness keeps whole"
	}
	return fmt.Sprintf("%s/%d%s", id, digest[0], pad)
}

func (w *world) cut(a, b identifier.VMID) bool {
	return w.cuts[link{min(a, b), max(a, b)}]
}

func (w *world) post(from *process, to identifier.Member, m peermessenger.Message) {
	if w.cut(from.member.VM, to.VM) {
		w.reached["cutLink"]++
		return
	}
	data, err := peermessenger.Encode(m)
	if err != nil {
		w.fail("encoding %T: %v", m, err)
		return
	}
	if len(w.packets) >= maxInFlight {
		w.lose(w.packets[0])
		w.packets = w.packets[1:]
	}
	w.packets = append(w.packets, &packet{from: from.member, to: to, data: data})
}

// deliver hands packet i to its receiver.
func (w *world) deliver(i int) {
	k := w.packets[i]
	for _, earlier := range w.packets[:i] {
		if earlier.to == k.to && earlier.from == k.from && !earlier.old {
			earlier.old = true
			w.reached["reordered"]++
		}
	}
	w.packets = slices.Delete(w.packets, i, i+1)
	p := w.find(k.to)
	if p == nil || p.dead || w.cut(k.from.VM, k.to.VM) {
		w.lose(k)
		return
	}
	if p.paused {
		w.packets = append(w.packets, k)
		return
	}
	w.handle(p, k, w.clock(p))
}

func (w *world) lose(k *packet) {
	if k.ask != nil {
		k.ask.answered = true
	}
}

func (w *world) handle(p *process, k *packet, now time.Time) {
	if k.ask != nil {
		w.askAt(p, k.ask, now)
		return
	}
	m, err := peermessenger.Decode(k.data)
	if err != nil {
		w.fail("decoding: %v", err)
		return
	}
	w.noteLate(p, m)
	if !p.deaf {
		w.stepEnroller(p, now, enroller.PeerHeard{Member: k.from})
	}
	switch m.(type) {
	case peermessenger.Heartbeat, peermessenger.RosterRequest, peermessenger.RosterReply:
		if p.deaf {
			return
		}
		w.stepEnroller(p, now, enroller.PeerReceived{From: k.from, Message: m})
	default:
		w.note("%s <- %s: %s", p.member, k.from, describeMessage(m))
		w.stepClaimer(p, now, PeerReceived{From: k.from, Message: m})
	}
}

func (w *world) noteLate(p *process, m peermessenger.Message) {
	late := func(epoch identifier.Epoch) {
		if epoch+2 <= p.claimer.promised {
			w.reached["lateByTwoEpochs"]++
		}
	}
	switch m := m.(type) {
	case peermessenger.RecordClaim:
		late(m.Epoch)
	case peermessenger.ClaimRecorded:
		late(m.Epoch)
	case peermessenger.RecordPage:
		late(m.Epoch)
	case peermessenger.FetchRecords:
		late(m.Epoch)
	}
}

func describeMessage(m peermessenger.Message) string {
	switch m := m.(type) {
	case peermessenger.RecordClaim:
		return fmt.Sprintf("record claim %s in epoch %d", m.Record.Submission, m.Epoch)
	case peermessenger.ClaimRecorded:
		return fmt.Sprintf("claim %s recorded in epoch %d", m.Claim.Submission, m.Epoch)
	case peermessenger.ClaimNotRecorded:
		return fmt.Sprintf("claim %s not recorded, cause %d, epoch is %d", m.Claim.Submission, m.Cause, m.Current)
	case peermessenger.FetchRecords:
		return fmt.Sprintf("fetch for epoch %d from shard %d", m.Epoch, m.From.Shard)
	case peermessenger.RecordPage:
		return fmt.Sprintf("page for epoch %d: %d shards, %d records, last %t", m.Epoch, len(m.States), len(m.Records), m.Last)
	case peermessenger.HandRecords:
		return fmt.Sprintf("%d records handed", len(m.Records))
	case peermessenger.RecordsHanded:
		return fmt.Sprintf("page received, epoch %d", m.Epoch)
	case peermessenger.QueryClaim:
		return fmt.Sprintf("query claim %s", m.Claim.Submission)
	case peermessenger.ClaimState:
		return fmt.Sprintf("claim %s known %t", m.Claim.Submission, m.Known)
	}
	return fmt.Sprintf("%T", m)
}

func (w *world) askAt(p *process, a *worldAsk, now time.Time) {
	p.asks[a.id] = append(p.asks[a.id], a)
	w.stepClaimer(p, now, ClaimAsked{Submission: a.id, Digest: a.digest, Team: "desk", CreatedAt: a.created})
}

// submit is an attempt of a client at an entry VM.
func (w *world) submit(p *process, id worldID, digest byte) *worldAsk {
	a := &worldAsk{id: id.id, digest: identifier.Digest{digest}, created: id.created}
	w.asks = append(w.asks, a)
	w.note("client submits %s at %s", a.id, p.member)
	w.askAt(p, a, w.clock(p))
	return a
}

func (w *world) newID() worldID {
	id := worldID{
		id:      identifier.SubmissionID(fmt.Sprintf("order:%d", len(w.ids))),
		created: w.now.Add(time.Duration(w.pick.choose("callerClock", 3)-1) * worldClockBound),
	}
	w.ids = append(w.ids, id)
	return id
}

func (w *world) startJob(p *process, id identifier.SubmissionID) {
	job := p.jobs[id]
	job.started = true
	w.starts[id]++
	w.startedBy[id] = p
	w.note("%s starts %s", p.member, id)
	if w.starts[id] > 1 {
		w.fail("%s started %d times, lastly at %s", id, w.starts[id], p.member)
	}
}

func (w *world) endJob(p *process, id identifier.SubmissionID, failed bool) {
	job := p.jobs[id]
	var ending declarer.Ending = declarer.Complete{Outputs: [][]byte{[]byte(output(id, job.digest))}}
	switch {
	case !job.started:
		ending = declarer.Refused{Cause: declarer.QueueFull}
	case failed:
		ending = declarer.Failed{Cause: declarer.TaskFailed}
	}
	delete(p.jobs, id)
	w.stepClaimer(p, w.clock(p), JobEnded{Submission: id, Ending: ending})
	w.answerAll(p, id, job.digest, ending)
}

func (w *world) kill(p *process) {
	w.note("%s dies", p.member)
	p.dead, p.paused = true, false
	if p.held != nil {
		w.lose(p.held)
		p.held = nil
	}
	for _, id := range slices.Sorted(maps.Keys(p.asks)) {
		for _, a := range p.asks[id] {
			a.answered = true // its connection broke
		}
	}
}

func (w *world) pause(p *process) {
	p.paused = true
	w.note("%s pauses", p.member)
	for i, k := range w.packets {
		if k.to == p.member && !w.cut(k.from.VM, k.to.VM) {
			w.packets = slices.Delete(w.packets, i, i+1)
			p.held, p.heldNow = k, w.clock(p)
			return
		}
	}
}

func (w *world) resume(p *process) {
	p.paused = false
	w.note("%s resumes", p.member)
	if p.held != nil {
		held := p.held
		p.held = nil
		w.handle(p, held, p.heldNow)
	}
}

func (w *world) tick(p *process) {
	w.stepEnroller(p, w.clock(p), enroller.Tick{})
	w.stepClaimer(p, w.clock(p), Tick{})
	if p.drained && len(p.jobs) == 0 {
		w.reached["drained"]++
		w.kill(p)
	}
}

func (w *world) tickAll(d time.Duration) {
	w.now = w.now.Add(d)
	for _, p := range w.running() {
		w.tick(p)
	}
}

func (w *world) drain(p *process) {
	w.note("%s is asked to drain", p.member)
	p.draining = true
	w.stepEnroller(p, w.clock(p), enroller.LeaveRequested{})
	w.stepClaimer(p, w.clock(p), DrainAsked{})
}

// storeResult is what becomes of one call to the store.
type storeResult int

const (
	storeAnswers storeResult = iota
	storeFails
	storeLosesAnswer
	storeWritesLate
)

func (w *world) answerStore(p *process, result storeResult) {
	op := p.storeOp
	p.storeOp = nil
	if w.storeDown || w.storeCuts[p.member.VM] {
		result = storeFails
	}
	w.stepEnroller(p, w.clock(p), w.store(op, result))
}

func (w *world) store(op enroller.Effect, result storeResult) enroller.Event {
	swap, isSwap := op.(enroller.SwapRoster)
	if result == storeFails || result != storeAnswers && !isSwap {
		w.reached["storeFailed"]++
		return enroller.StoreFailed{}
	}
	if !isSwap {
		return w.readStore()
	}
	if result == storeWritesLate {
		w.reached["storeLateWrite"]++
		w.lateWrites = append(w.lateWrites, swap)
		return enroller.SwapUnknown{}
	}
	done := w.swapStore(swap)
	switch {
	case result == storeLosesAnswer:
		w.reached["storeAnswerLost"]++
		return enroller.SwapUnknown{}
	case done:
		return enroller.SwapSucceeded{}
	}
	w.reached["storeConflict"]++
	return enroller.SwapConflict{}
}

func (w *world) readStore() enroller.Event {
	if w.revision == 0 {
		return enroller.RosterRead{}
	}
	r, err := enroller.DecodeRoster(w.value)
	if err != nil {
		w.fail("decoding the roster: %v", err)
	}
	return enroller.RosterRead{Roster: r, Revision: w.revision}
}

func (w *world) swapStore(swap enroller.SwapRoster) bool {
	if swap.Expected != w.revision {
		return false
	}
	value, err := enroller.EncodeRoster(swap.Roster)
	if err != nil {
		w.fail("encoding the roster: %v", err)
		return false
	}
	w.value = value
	w.revision++
	return true
}

// settle runs the world without faults, with all messages delivered in order.
func (w *world) settle(steps int) {
	const interval = 100 * time.Millisecond
	for range steps {
		w.settleStep(interval)
		if w.violation != "" {
			return
		}
	}
}

func (w *world) settleStep(interval time.Duration) {
	w.answerStores()
	for n := len(w.packets); n > 0 && len(w.packets) > 0; n-- {
		w.deliver(0)
	}
	for _, p := range w.running() {
		for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
			if !p.jobs[id].started {
				w.startJob(p, id)
			} else {
				w.endJob(p, id, false)
			}
		}
	}
	for _, p := range w.running() {
		w.readList(p, 0)
	}
	w.tickAll(interval)
}

func (w *world) answerStores() {
	for _, p := range w.running() {
		if p.storeOp != nil {
			w.answerStore(p, storeAnswers)
		}
	}
}

// heal ends all faults. VMs whose process is dead get a new one, or are deleted
// and disappear from the platform's list.
func (w *world) heal() {
	clear(w.cuts)
	clear(w.storeCuts)
	w.storeDown = false
	w.lateWrites = nil
	for _, p := range w.processes {
		p.deaf = false
		if p.paused {
			w.resume(p)
		}
	}
	for _, vm := range w.vms {
		if !w.deleted[vm] && !w.occupied(vm) {
			w.boot(vm, 0)
		}
	}
}

func (w *world) occupied(vm identifier.VMID) bool {
	return slices.ContainsFunc(w.processes, func(p *process) bool { return p.member.VM == vm && !p.dead })
}

// readList hands a process the platform's list as it was some time ago.
func (w *world) readList(p *process, lag time.Duration) {
	vms := w.lists[0].vms
	for _, l := range w.lists {
		if !l.since.After(w.now.Add(-lag)) {
			vms = l.vms
		}
	}
	w.stepEnroller(p, w.clock(p), enroller.VMListRead{VMs: vms})
}

func (w *world) sortedIDs(p *process) []identifier.SubmissionID {
	return slices.SortedFunc(maps.Keys(p.jobs), cmp.Compare[identifier.SubmissionID])
}
