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
	testDomain     = "perth-a"
	testRetention  = 20 * time.Second
	testClockBound = 400 * time.Millisecond
	maxHops        = 8
	maxInFlight    = 400
	listLag        = time.Second // the longest lag of the platform's list
)

// packet is a message in flight.
type packet struct {
	from, to  identifier.Member
	data      []byte
	request   *clientRequest // set instead of data: a forwarded request
	overtaken bool           // a later packet was delivered before it
}

// clientRequest is one attempt of a client.
type clientRequest struct {
	id       identifier.SubmissionID
	digest   identifier.Digest
	created  time.Time
	hops     int
	answered bool // or lost with a process or link
}

type grantedJob struct {
	digest  identifier.Digest
	started bool
}

// process is one incarnation on a VM.
type process struct {
	member              identifier.Member
	enroller            *enroller.Enroller
	claimer             *Claimer
	offset              time.Duration // of its clock
	dead                bool
	paused              bool
	losesRosterMessages bool      // roster messages to it are dropped
	heldPacket          *packet   // received before the pause; handled after it, with heldTime
	heldTime            time.Time // read before the pause
	storeOp             enroller.Effect
	requests            map[identifier.SubmissionID][]*clientRequest
	jobs                map[identifier.SubmissionID]*grantedJob
	draining            bool
	drained             bool
	epoch               identifier.Epoch
}

type link struct{ a, b identifier.VMID }

// simulation is a failure domain whose processes run the real Enroller and
// Claimer.
type simulation struct {
	pick        chooser
	defects     defects
	now         time.Time
	processes   []*process // in the order of their start; dead ones stay
	vms         []identifier.VMID
	deleted     map[identifier.VMID]bool
	vmLists     []vmList
	packets     []*packet
	cuts        map[link]bool
	storeCuts   map[identifier.VMID]bool
	storeDown   bool
	value       []byte
	revision    enroller.Revision
	lateWrites  []enroller.SwapRoster
	requests    []*clientRequest
	submissions []submission
	starts      map[identifier.SubmissionID]int
	startedBy   map[identifier.SubmissionID]*process
	lastEndings map[identifier.SubmissionID]declarer.Ending
	incarnation identifier.Incarnation
	coverage    map[string]int
	trace       []string // of a session, compared with a golden file
	tracing     bool
	violation   string
}

type submission struct {
	id      identifier.SubmissionID
	created time.Time
}

func newSimulation(pick chooser, vms int, d defects) *simulation {
	sim := &simulation{
		pick:        pick,
		defects:     d,
		now:         start,
		deleted:     map[identifier.VMID]bool{},
		cuts:        map[link]bool{},
		storeCuts:   map[identifier.VMID]bool{},
		starts:      map[identifier.SubmissionID]int{},
		startedBy:   map[identifier.SubmissionID]*process{},
		lastEndings: map[identifier.SubmissionID]declarer.Ending{},
		coverage:    map[string]int{},
	}
	for i := range vms {
		sim.addVM(identifier.VMID(fmt.Sprintf("vm%d", i)))
	}
	return sim
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf(format, args...)
	}
}

func (sim *simulation) traceEvent(format string, args ...any) {
	if sim.tracing {
		at := sim.now.Sub(start).Milliseconds()
		sim.trace = append(sim.trace, fmt.Sprintf("%6d ms  ", at)+fmt.Sprintf(format, args...))
	}
}

func (sim *simulation) addVM(vm identifier.VMID) {
	sim.vms = append(sim.vms, vm)
	sim.appendVMList()
	sim.boot(vm, 0)
}

// appendVMList adds a revision of the platform's list of VMs.
func (sim *simulation) appendVMList() {
	var vms []identifier.VMID
	for _, vm := range sim.vms {
		if !sim.deleted[vm] {
			vms = append(vms, vm)
		}
	}
	sim.vmLists = append(sim.vmLists, vmList{since: sim.now, vms: vms})
}

// vmList is the platform's list from one time on.
type vmList struct {
	since time.Time
	vms   []identifier.VMID
}

func (sim *simulation) boot(vm identifier.VMID, offset time.Duration) *process {
	sim.incarnation++
	m := identifier.Member{VM: vm, Incarnation: sim.incarnation}
	p := &process{
		member:   m,
		offset:   offset,
		requests: map[identifier.SubmissionID][]*clientRequest{},
		jobs:     map[identifier.SubmissionID]*grantedJob{},
		enroller: enroller.New(enroller.Options{
			Domain:            testDomain,
			Self:              m,
			Address:           string(vm),
			HeartbeatInterval: 300 * time.Millisecond,
			SuspectAfter:      1500 * time.Millisecond,
			DeletedAfter:      listLag + 2*testClockBound + time.Millisecond,
			ListWait:          2 * time.Second,
			RetryBase:         100 * time.Millisecond,
			RetryMax:          400 * time.Millisecond,
			Rand:              rand.New(rand.NewPCG(uint64(m.Incarnation), 1)),
		}),
		claimer: New(Options{
			Self:                  m,
			Domain:                testDomain,
			Retention:             testRetention,
			ClockBound:            testClockBound,
			ClaimTimeout:          time.Second,
			ResendInterval:        100 * time.Millisecond,
			PageRecords:           2,
			MaxWitnessEndingBytes: 64,
			MaxRecords:            200,
			MaxEndingsBytes:       400,
			defects:               sim.defects,
		}),
	}
	sim.processes = append(sim.processes, p)
	sim.traceEvent("%s boots", m)
	sim.readVMList(p, 0)
	return p
}

func (sim *simulation) findProcess(m identifier.Member) *process {
	for _, p := range sim.processes {
		if p.member == m {
			return p
		}
	}
	return nil
}

// running returns the processes that are neither dead nor paused.
func (sim *simulation) running() (running []*process) {
	for _, p := range sim.processes {
		if !p.dead && !p.paused {
			running = append(running, p)
		}
	}
	return running
}

func (sim *simulation) alive() (alive []*process) {
	for _, p := range sim.processes {
		if !p.dead {
			alive = append(alive, p)
		}
	}
	return alive
}

// clock returns what a process reads from its clock now.
func (sim *simulation) clock(p *process) time.Time { return sim.now.Add(p.offset) }

func (sim *simulation) stepEnroller(p *process, now time.Time, e enroller.Event) {
	for _, effect := range p.enroller.Step(now, e) {
		switch effect := effect.(type) {
		case enroller.Send:
			sim.send(p, effect.To, effect.Message)
		case enroller.RosterAdopted:
			if p.epoch > 0 && effect.Roster.Epoch > p.epoch+1 {
				sim.coverage["epochSkipped"]++
			}
			p.epoch = effect.Roster.Epoch
			sim.traceEvent("%s adopts epoch %d: %s", p.member, p.epoch, describeRoster(effect.Roster))
			sim.stepClaimer(p, now, RosterAdopted{effect.Roster})
		case enroller.MemberTerminated:
			if terminated := sim.findProcess(effect.Member); terminated == nil || !terminated.dead {
				sim.fail("%s was reported as terminated but is alive", effect.Member)
			}
			sim.stepClaimer(p, now, MemberTerminated{effect.Member})
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

func (sim *simulation) stepClaimer(p *process, now time.Time, e Event) {
	for _, effect := range p.claimer.Step(now, e) {
		switch effect := effect.(type) {
		case Send:
			sim.send(p, effect.To, effect.Message)
		case RecordsCaughtUp:
			sim.traceEvent("%s has caught up in epoch %d", p.member, effect.Epoch)
			sim.stepEnroller(p, now, enroller.RecordsCaughtUp{Epoch: effect.Epoch})
		case LaterEpochSeen:
			sim.stepEnroller(p, now, enroller.LaterEpochSeen{From: effect.From, Epoch: effect.Epoch})
		case Drained:
			sim.traceEvent("%s is drained", p.member)
			p.drained = true
		case ClaimGranted:
			sim.recordGrant(p, effect)
		case ClaimAlreadyRunning:
			if p.jobs[effect.Submission] == nil {
				sim.fail("%s joined at %s, where it is not running", effect.Submission, p.member)
			}
			sim.traceEvent("%s joins %s", p.member, effect.Submission)
		case ClaimAnswered:
			sim.answerAll(p, effect.Submission, effect.Digest, effect.Ending)
		case ClaimForwarded:
			sim.forward(p, effect)
		}
	}
}

func (sim *simulation) recordGrant(p *process, e ClaimGranted) {
	sim.traceEvent("%s grants %s", p.member, e.Submission)
	if p.jobs[e.Submission] != nil {
		sim.fail("%s granted twice at %s", e.Submission, p.member)
	}
	if len(withDigest(p.requests[e.Submission], e.Digest)) == 0 {
		sim.fail("%s granted at %s without a request", e.Submission, p.member)
	}
	p.jobs[e.Submission] = &grantedJob{digest: e.Digest}
}

func withDigest(requests []*clientRequest, digest identifier.Digest) (m []*clientRequest) {
	for _, req := range requests {
		if req.digest == digest {
			m = append(m, req)
		}
	}
	return m
}

// takeRequests removes and returns the requests for a submission that have a
// digest.
func (p *process) takeRequests(id identifier.SubmissionID, digest identifier.Digest) []*clientRequest {
	taken := withDigest(p.requests[id], digest)
	p.requests[id] = slices.DeleteFunc(p.requests[id], func(req *clientRequest) bool { return req.digest == digest })
	return taken
}

func (sim *simulation) forward(p *process, e ClaimForwarded) {
	sim.traceEvent("%s forwards %s to %s", p.member, e.Submission, e.To)
	for _, req := range p.takeRequests(e.Submission, e.Digest) {
		req.hops++
		if req.hops > maxHops {
			req.answered = true // the dispatcher answers it as unverifiable
			continue
		}
		sim.packets = append(sim.packets, &packet{from: p.member, to: e.To, request: req})
	}
}

func (sim *simulation) answerAll(p *process, id identifier.SubmissionID, digest identifier.Digest, ending declarer.Ending) {
	for _, req := range p.takeRequests(id, digest) {
		req.answered = true
		sim.checkAnswer(p, req, ending)
	}
}

// checkAnswer checks the answer to one request against the earlier ones of its
// submission.
func (sim *simulation) checkAnswer(p *process, req *clientRequest, ending declarer.Ending) {
	sim.traceEvent("%s answers %s: %s", p.member, req.id, describeEnding(ending))
	sim.coverage["ending:"+describeEnding(ending)]++
	switch e := ending.(type) {
	case declarer.Refused:
		if sim.starts[req.id] > 0 {
			sim.fail("%s refused at %s as never started, but it was started", req.id, p.member)
		}
		return
	case declarer.Unverifiable:
		return
	case declarer.Complete:
		if len(e.Outputs) != 1 || string(e.Outputs[0]) != output(req.id, req.digest) {
			sim.fail("%s got the output of another submission", req.id)
		}
	}
	sim.checkSameEnding(req.id, ending)
}

func (sim *simulation) checkSameEnding(id identifier.SubmissionID, ending declarer.Ending) {
	if sim.starts[id] == 0 && !isRunnerLost(ending) {
		sim.fail("%s answered %s but never started", id, describeEnding(ending))
	}
	earlier, ok := sim.lastEndings[id]
	sim.lastEndings[id] = ending
	if !ok || describeEnding(earlier) == describeEnding(ending) {
		return
	}
	runner := sim.startedBy[id]
	if isRunnerLost(ending) && runner != nil && runner.dead {
		return // its runner died before the earlier answer reached a client
	}
	sim.fail("%s answered %s, earlier %s", id, describeEnding(ending), describeEnding(earlier))
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

func (sim *simulation) isCut(a, b identifier.VMID) bool {
	return sim.cuts[link{min(a, b), max(a, b)}]
}

func (sim *simulation) send(from *process, to identifier.Member, m peermessenger.Message) {
	if sim.isCut(from.member.VM, to.VM) {
		sim.coverage["cutLink"]++
		return
	}
	data, err := peermessenger.Encode(m)
	if err != nil {
		sim.fail("encoding %T: %v", m, err)
		return
	}
	if len(sim.packets) >= maxInFlight {
		sim.drop(sim.packets[0])
		sim.packets = sim.packets[1:]
	}
	sim.packets = append(sim.packets, &packet{from: from.member, to: to, data: data})
}

// deliver hands packet i to its receiver.
func (sim *simulation) deliver(i int) {
	k := sim.packets[i]
	for _, earlier := range sim.packets[:i] {
		if earlier.to == k.to && earlier.from == k.from && !earlier.overtaken {
			earlier.overtaken = true
			sim.coverage["reordered"]++
		}
	}
	sim.packets = slices.Delete(sim.packets, i, i+1)
	p := sim.findProcess(k.to)
	if p == nil || p.dead || sim.isCut(k.from.VM, k.to.VM) {
		sim.drop(k)
		return
	}
	if p.paused {
		sim.packets = append(sim.packets, k)
		return
	}
	sim.handle(p, k, sim.clock(p))
}

func (sim *simulation) drop(k *packet) {
	if k.request != nil {
		k.request.answered = true
	}
}

func (sim *simulation) handle(p *process, k *packet, now time.Time) {
	if k.request != nil {
		sim.requestAt(p, k.request, now)
		return
	}
	m, err := peermessenger.Decode(k.data)
	if err != nil {
		sim.fail("decoding: %v", err)
		return
	}
	sim.countLate(p, m)
	if !p.losesRosterMessages {
		sim.stepEnroller(p, now, enroller.PeerHeard{Member: k.from})
	}
	switch m.(type) {
	case peermessenger.Heartbeat, peermessenger.RosterRequest, peermessenger.RosterReply:
		if p.losesRosterMessages {
			return
		}
		sim.stepEnroller(p, now, enroller.PeerMessage{From: k.from, Message: m})
	default:
		sim.traceEvent("%s <- %s: %s", p.member, k.from, describeMessage(m))
		sim.stepClaimer(p, now, PeerMessage{From: k.from, Message: m})
	}
}

func (sim *simulation) countLate(p *process, m peermessenger.Message) {
	late := func(epoch identifier.Epoch) {
		if epoch+2 <= p.claimer.promised {
			sim.coverage["lateByTwoEpochs"]++
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
		return fmt.Sprintf("claim %s not recorded, cause %d, epoch is %d", m.Claim.Submission, m.Cause, m.Promised)
	case peermessenger.FetchRecords:
		return fmt.Sprintf("fetch for epoch %d from shard %d", m.Epoch, m.From.Shard)
	case peermessenger.RecordPage:
		return fmt.Sprintf("page for epoch %d: %d shards, %d records, last %t", m.Epoch, len(m.States), len(m.Records), m.Last)
	case peermessenger.HandOverRecords:
		return fmt.Sprintf("hand over %d records", len(m.Records))
	case peermessenger.HandoverAcknowledged:
		return fmt.Sprintf("handover acknowledged, epoch %d", m.Epoch)
	case peermessenger.QueryClaim:
		return fmt.Sprintf("query claim %s", m.Claim.Submission)
	case peermessenger.ClaimState:
		return fmt.Sprintf("claim %s known %t", m.Claim.Submission, m.Known)
	}
	return fmt.Sprintf("%T", m)
}

func (sim *simulation) requestAt(p *process, req *clientRequest, now time.Time) {
	p.requests[req.id] = append(p.requests[req.id], req)
	sim.stepClaimer(p, now, ClaimRequested{Submission: req.id, Digest: req.digest, Team: "desk", CreatedAt: req.created})
}

// submit makes an attempt of a client at an entry VM.
func (sim *simulation) submit(p *process, id submission, digest byte) *clientRequest {
	req := &clientRequest{id: id.id, digest: identifier.Digest{digest}, created: id.created}
	sim.requests = append(sim.requests, req)
	sim.traceEvent("client submits %s at %s", req.id, p.member)
	sim.requestAt(p, req, sim.clock(p))
	return req
}

func (sim *simulation) newID() submission {
	id := submission{
		id:      identifier.SubmissionID(fmt.Sprintf("order:%d", len(sim.submissions))),
		created: sim.now.Add(time.Duration(sim.pick.choose("callerClock", 3)-1) * testClockBound),
	}
	sim.submissions = append(sim.submissions, id)
	return id
}

func (sim *simulation) startJob(p *process, id identifier.SubmissionID) {
	job := p.jobs[id]
	job.started = true
	sim.starts[id]++
	sim.startedBy[id] = p
	sim.traceEvent("%s starts %s", p.member, id)
	if sim.starts[id] > 1 {
		sim.fail("%s started %d times, most recently at %s", id, sim.starts[id], p.member)
	}
}

func (sim *simulation) endJob(p *process, id identifier.SubmissionID, failed bool) {
	job := p.jobs[id]
	var ending declarer.Ending = declarer.Complete{Outputs: [][]byte{[]byte(output(id, job.digest))}}
	switch {
	case !job.started:
		ending = declarer.Refused{Cause: declarer.QueueFull}
	case failed:
		ending = declarer.Failed{Cause: declarer.TaskFailed}
	}
	delete(p.jobs, id)
	sim.stepClaimer(p, sim.clock(p), JobEnded{Submission: id, Ending: ending})
	sim.answerAll(p, id, job.digest, ending)
}

func (sim *simulation) kill(p *process) {
	sim.traceEvent("%s dies", p.member)
	p.dead, p.paused = true, false
	if p.heldPacket != nil {
		sim.drop(p.heldPacket)
		p.heldPacket = nil
	}
	for _, id := range slices.Sorted(maps.Keys(p.requests)) {
		for _, req := range p.requests[id] {
			req.answered = true // its connection broke
		}
	}
}

func (sim *simulation) pause(p *process) {
	p.paused = true
	sim.traceEvent("%s pauses", p.member)
	for i, k := range sim.packets {
		if k.to == p.member && !sim.isCut(k.from.VM, k.to.VM) {
			sim.packets = slices.Delete(sim.packets, i, i+1)
			p.heldPacket, p.heldTime = k, sim.clock(p)
			return
		}
	}
}

func (sim *simulation) resume(p *process) {
	p.paused = false
	sim.traceEvent("%s resumes", p.member)
	if p.heldPacket != nil {
		held := p.heldPacket
		p.heldPacket = nil
		sim.handle(p, held, p.heldTime)
	}
}

func (sim *simulation) tick(p *process) {
	sim.stepEnroller(p, sim.clock(p), enroller.Tick{})
	sim.stepClaimer(p, sim.clock(p), Tick{})
	if p.drained && len(p.jobs) == 0 {
		sim.coverage["drained"]++
		sim.kill(p)
	}
}

func (sim *simulation) tickAll(d time.Duration) {
	sim.now = sim.now.Add(d)
	for _, p := range sim.running() {
		sim.tick(p)
	}
}

func (sim *simulation) drain(p *process) {
	sim.traceEvent("%s is asked to drain", p.member)
	p.draining = true
	sim.stepEnroller(p, sim.clock(p), enroller.LeaveRequested{})
	sim.stepClaimer(p, sim.clock(p), DrainRequested{})
}

// storeResult is the outcome of one call to the store.
type storeResult int

const (
	storeAnswers storeResult = iota
	storeFails
	storeLosesAnswer
	storeWritesLate
)

func (sim *simulation) answerStore(p *process, result storeResult) {
	op := p.storeOp
	p.storeOp = nil
	if sim.storeDown || sim.storeCuts[p.member.VM] {
		result = storeFails
	}
	sim.stepEnroller(p, sim.clock(p), sim.callStore(op, result))
}

func (sim *simulation) callStore(op enroller.Effect, result storeResult) enroller.Event {
	swap, isSwap := op.(enroller.SwapRoster)
	if result == storeFails || result != storeAnswers && !isSwap {
		sim.coverage["storeFailed"]++
		return enroller.StoreFailed{}
	}
	if !isSwap {
		return sim.readStore()
	}
	if result == storeWritesLate {
		sim.coverage["storeLateWrite"]++
		sim.lateWrites = append(sim.lateWrites, swap)
		return enroller.SwapUnknown{}
	}
	done := sim.swapStore(swap)
	switch {
	case result == storeLosesAnswer:
		sim.coverage["storeAnswerLost"]++
		return enroller.SwapUnknown{}
	case done:
		return enroller.SwapSucceeded{}
	}
	sim.coverage["storeConflict"]++
	return enroller.SwapConflict{}
}

func (sim *simulation) readStore() enroller.Event {
	if sim.revision == 0 {
		return enroller.RosterRead{}
	}
	r, err := enroller.DecodeRoster(sim.value)
	if err != nil {
		sim.fail("decoding the roster: %v", err)
	}
	return enroller.RosterRead{Roster: r, Revision: sim.revision}
}

func (sim *simulation) swapStore(swap enroller.SwapRoster) bool {
	if swap.Expected != sim.revision {
		return false
	}
	value, err := enroller.EncodeRoster(swap.Roster)
	if err != nil {
		sim.fail("encoding the roster: %v", err)
		return false
	}
	sim.value = value
	sim.revision++
	return true
}

// settle runs the simulation without faults and delivers all messages in order.
func (sim *simulation) settle(steps int) {
	const interval = 100 * time.Millisecond
	for range steps {
		sim.settleStep(interval)
		if sim.violation != "" {
			return
		}
	}
}

func (sim *simulation) settleStep(interval time.Duration) {
	sim.answerStores()
	for n := len(sim.packets); n > 0 && len(sim.packets) > 0; n-- {
		sim.deliver(0)
	}
	for _, p := range sim.running() {
		for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
			if !p.jobs[id].started {
				sim.startJob(p, id)
			} else {
				sim.endJob(p, id, false)
			}
		}
	}
	for _, p := range sim.running() {
		sim.readVMList(p, 0)
	}
	sim.tickAll(interval)
}

func (sim *simulation) answerStores() {
	for _, p := range sim.running() {
		if p.storeOp != nil {
			sim.answerStore(p, storeAnswers)
		}
	}
}

// heal ends all faults. VMs whose process is dead get a new one, except the
// deleted ones.
func (sim *simulation) heal() {
	clear(sim.cuts)
	clear(sim.storeCuts)
	sim.storeDown = false
	sim.lateWrites = nil
	for _, p := range sim.processes {
		p.losesRosterMessages = false
		if p.paused {
			sim.resume(p)
		}
	}
	for _, vm := range sim.vms {
		if !sim.deleted[vm] && !sim.hasProcess(vm) {
			sim.boot(vm, 0)
		}
	}
}

func (sim *simulation) hasProcess(vm identifier.VMID) bool {
	return slices.ContainsFunc(sim.processes, func(p *process) bool { return p.member.VM == vm && !p.dead })
}

// readVMList gives a process the platform's list as it was a time lag ago.
func (sim *simulation) readVMList(p *process, lag time.Duration) {
	vms := sim.vmLists[0].vms
	for _, l := range sim.vmLists {
		if !l.since.After(sim.now.Add(-lag)) {
			vms = l.vms
		}
	}
	sim.stepEnroller(p, sim.clock(p), enroller.VMListRead{VMs: vms})
}

func (sim *simulation) jobIDs(p *process) []identifier.SubmissionID {
	return slices.SortedFunc(maps.Keys(p.jobs), cmp.Compare[identifier.SubmissionID])
}
