package dispatcher

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/enroller"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
	"github.com/peppertrack/peppertrack/internal/placer"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

const (
	worldTick     = 5 * time.Millisecond
	settleTick    = 25 * time.Millisecond
	worldVMs      = 3 // in each failure domain
	worldBackends = 4
	worldSlots    = 3
	worldDeadline = 5 * time.Second
	stragglerOdds = 30               // one task in so many
	settleTime    = 30 * time.Second // in which every request must be answered once faults stop
)

var worldDomains = []identifier.FailureDomain{"a", "b"}

// worldVM is one entry VM. A paused VM takes no event until it goes on.
type worldVM struct {
	member  identifier.Member
	domain  identifier.FailureDomain
	machine *Machine
	paused  bool
	inbox   []Event // what came while it was paused
}

// envelope is a message on its way.
type envelope struct {
	from, to identifier.Member
	data     []byte
	at       time.Time
}

// worldTask is a start on its way to, or running on, a backend server.
type worldTask struct {
	vm       identifier.Member
	start    StartTask
	arrives  time.Time
	ends     time.Time
	running  bool
	lost     bool // its answer will be lost
	fails    bool
	finished bool
}

// world joins several machines by a network, fake backend servers and clients.
type world struct {
	t       failer
	defects defects
	rand    *rand.Rand
	now     time.Time
	vms     map[identifier.VMID]*worldVM
	rosters map[identifier.FailureDomain]*enroller.Roster
	links   map[[2]identifier.Member][]envelope // by sender and receiver, in order
	cut     map[[2]identifier.VMID]bool
	tasks   []*worldTask
	used    map[identifier.BackendID]int
	starts  map[identifier.TaskRef]int
	clients map[identifier.SubmissionID]*worldClient
	asked   map[worldRequest]identifier.SubmissionID // requests without an answer
	last    RequestID
	faults  map[string]int // kinds of fault reached
	tasksOf map[identifier.SubmissionID]int
}

// worldRequest is a request at one process.
type worldRequest struct {
	member  identifier.Member
	request RequestID
}

// worldClient is what a client knows of its submission.
type worldClient struct {
	job     declarer.Job
	attempt identifier.Attempt
	ending  declarer.Ending // complete or failed, once told
}

// failer ends a test.
type failer interface {
	Fatalf(format string, args ...any)
}

func newWorld(t failer, seed uint64, defects defects) *world {
	w := &world{
		t:       t,
		defects: defects,
		rand:    rand.New(rand.NewPCG(seed, 0)),
		now:     time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		vms:     map[identifier.VMID]*worldVM{},
		rosters: map[identifier.FailureDomain]*enroller.Roster{},
		links:   map[[2]identifier.Member][]envelope{},
		cut:     map[[2]identifier.VMID]bool{},
		used:    map[identifier.BackendID]int{},
		starts:  map[identifier.TaskRef]int{},
		clients: map[identifier.SubmissionID]*worldClient{},
		asked:   map[worldRequest]identifier.SubmissionID{},
		faults:  map[string]int{},
		tasksOf: map[identifier.SubmissionID]int{},
	}
	for _, domain := range worldDomains {
		var members []enroller.RosterMember
		for n := range worldVMs {
			vm := w.boot(identifier.VMID(fmt.Sprintf("%s%d", domain, n)), domain, 1)
			members = append(members, enroller.RosterMember{Member: vm.member, Address: "x"})
		}
		w.rosters[domain] = enroller.NewRoster(w.now, domain, members)
	}
	for _, name := range w.names() {
		w.join(w.vms[name])
	}
	return w
}

func (w *world) boot(name identifier.VMID, domain identifier.FailureDomain, incarnation identifier.Incarnation) *worldVM {
	vm := &worldVM{
		member: identifier.Member{VM: name, Incarnation: incarnation},
		domain: domain,
		machine: New(Options{
			Self:           identifier.Member{VM: name, Incarnation: incarnation},
			Domain:         domain,
			Domains:        worldDomains,
			Rand:           rand.New(rand.NewPCG(w.rand.Uint64(), 0)),
			MaxQueuedTasks: 1000,
			MaxRecords:     1000,
			Retention:      10 * time.Minute,
			ClockBound:     time.Second,
			Counters:       &Counters{},
			defects:        w.defects,
		}),
	}
	w.vms[name] = vm
	return vm
}

// join tells a fresh VM of the world, and the others of it.
func (w *world) join(vm *worldVM) {
	w.give(vm, ProfilesAdopted{Profiles: worldProfiles()})
	w.give(vm, BackendsListed{Backends: worldBackendList()})
	w.give(vm, RosterAdopted{Roster: w.rosters[vm.domain]})
	for _, name := range w.names() {
		other := w.vms[name]
		if other == vm || w.cut[pairOf(vm, other)] {
			continue
		}
		w.give(vm, PeerUp{Member: other.member, Domain: other.domain})
		w.give(other, PeerUp{Member: vm.member, Domain: vm.domain})
	}
}

func worldProfiles() map[identifier.ProfileName]profileparser.Profile {
	p := profileparser.Default()
	p.Name = "p"
	p.Deadline = worldDeadline
	return map[identifier.ProfileName]profileparser.Profile{"p": p}
}

func worldBackendList() []placer.Backend {
	var list []placer.Backend
	for n := range worldBackends {
		list = append(list, placer.Backend{
			ID:          identifier.BackendID(fmt.Sprintf("backend%d", n)),
			Domain:      worldDomains[n%len(worldDomains)],
			Rack:        "rack",
			Address:     "x",
			Slots:       worldSlots,
			Connections: 64,
			Millicores:  8000,
			Memory:      8000,
		})
	}
	return list
}

func (w *world) names() []identifier.VMID { return slices.Sorted(maps.Keys(w.vms)) }

func pairOf(a, b *worldVM) [2]identifier.VMID {
	if a.member.VM < b.member.VM {
		return [2]identifier.VMID{a.member.VM, b.member.VM}
	}
	return [2]identifier.VMID{b.member.VM, a.member.VM}
}

// give hands an event to a VM, or keeps it while the VM is paused.
func (w *world) give(vm *worldVM, e Event) {
	if vm.paused {
		vm.inbox = append(vm.inbox, e)
		return
	}
	for _, effect := range slices.Clone(vm.machine.Step(w.now, e)) {
		w.perform(vm, effect)
	}
}

func (w *world) perform(vm *worldVM, effect Effect) {
	switch e := effect.(type) {
	case Send:
		w.send(vm, e)
	case StartTask:
		w.tasks = append(w.tasks, &worldTask{
			vm:      vm.member,
			start:   e,
			arrives: w.now.Add(w.delay()),
			lost:    w.rand.IntN(40) == 0 && w.faults["calm"] == 0,
			fails:   w.rand.IntN(30) == 0,
		})
	case StopTasks:
		for _, ref := range e.Refs {
			w.stop(ref)
		}
	case Reply:
		w.replied(vm, e)
	}
}

func (w *world) delay() time.Duration {
	return time.Duration(w.rand.IntN(10)) * time.Millisecond
}

func (w *world) send(vm *worldVM, e Send) {
	data, err := peermessenger.Encode(e.Message)
	if err != nil {
		w.t.Fatalf("encoding %T: %v", e.Message, err)
	}
	key := [2]identifier.Member{vm.member, e.To}
	w.links[key] = append(w.links[key], envelope{from: vm.member, to: e.To, data: data, at: w.now.Add(w.delay())})
}

// advance lets time pass by one tick.
func (w *world) advance(tick time.Duration) {
	w.now = w.now.Add(tick)
	w.deliver()
	w.runTasks()
	for _, name := range w.names() {
		if vm := w.vms[name]; !vm.paused {
			w.give(vm, Tick{})
		}
	}
}

// deliver delivers the messages that have arrived, in the order of each link.
func (w *world) deliver() {
	keys := slices.SortedFunc(maps.Keys(w.links), func(a, b [2]identifier.Member) int {
		return cmp.Or(compareMembers(a[0], b[0]), compareMembers(a[1], b[1]))
	})
	for _, key := range keys {
		queue := w.links[key]
		n := 0
		for n < len(queue) && !queue[n].at.After(w.now) {
			n++
		}
		w.links[key] = queue[n:]
		if n == len(queue) {
			delete(w.links, key)
		}
		for _, e := range queue[:n] {
			w.arrive(e)
		}
	}
}

func (w *world) arrive(e envelope) {
	vm, ok := w.vms[e.to.VM]
	if !ok || vm.member != e.to {
		return
	}
	if from, ok := w.vms[e.from.VM]; ok && w.cut[pairOf(vm, from)] {
		return
	}
	m, err := peermessenger.Decode(e.data)
	if err != nil {
		w.t.Fatalf("decoding: %v", err)
	}
	w.give(vm, PeerReceived{From: e.from, Message: m})
}

// runTasks starts, ends and answers tasks on the fake backend servers.
func (w *world) runTasks() {
	for _, task := range w.tasks {
		switch {
		case !task.running && !task.finished && !task.arrives.After(w.now):
			w.startTask(task)
		case task.running && !task.ends.After(w.now):
			w.endTask(task)
		}
	}
	w.tasks = slices.DeleteFunc(w.tasks, func(t *worldTask) bool { return t.finished })
}

func (w *world) startTask(task *worldTask) {
	if w.used[task.start.Backend] >= worldSlots {
		task.finished = true
		w.faults["startRefused"]++
		w.answer(task, StartRefused{Reason: placer.Full})
		return
	}
	ref := task.start.Ref
	w.starts[ref]++
	if w.starts[ref] > 1 {
		w.t.Fatalf("task %s was started twice", ref)
	}
	w.used[task.start.Backend]++
	task.running = true
	task.ends = w.now.Add(task.start.Task.RunTime)
}

func (w *world) endTask(task *worldTask) {
	task.running = false
	task.finished = true
	w.used[task.start.Backend]--
	switch {
	case task.lost:
		w.faults["answerLost"]++
		w.answer(task, AnswerLost{Detail: "lost"})
	case task.fails:
		w.faults["taskFailed"]++
		w.answer(task, TaskFailed{Detail: "failed", RunTime: task.start.Task.RunTime})
	default:
		w.answer(task, TaskSucceeded{Output: outputOf(task.start.Ref), RunTime: task.start.Task.RunTime})
	}
}

func outputOf(ref identifier.TaskRef) []byte { return []byte("output of " + ref.String()) }

func (w *world) stop(ref identifier.TaskRef) {
	for _, task := range w.tasks {
		if task.start.Ref == ref && task.running {
			task.ends = w.now
			task.fails = true
		}
	}
}

func (w *world) answer(task *worldTask, outcome StartOutcome) {
	vm, ok := w.vms[task.vm.VM]
	if !ok || vm.member != task.vm {
		return // the entry VM that started it is gone
	}
	w.give(vm, StartEnded{Ref: task.start.Ref, Backend: task.start.Backend, Outcome: outcome})
}

// replied checks an answer against what happened.
func (w *world) replied(vm *worldVM, r Reply) {
	key := worldRequest{vm.member, r.Request}
	id, ok := w.asked[key]
	if !ok {
		w.t.Fatalf("request %v was answered twice", key)
	}
	delete(w.asked, key)
	client := w.clients[id]
	switch e := r.Status.Ending.(type) {
	case declarer.Complete:
		w.checkComplete(client, e)
	case declarer.Failed:
		w.checkFailed(client, e)
	case declarer.Refused:
		w.checkRefused(id, e)
	}
}

func (w *world) checkComplete(client *worldClient, e declarer.Complete) {
	id := client.job.Submission
	if len(e.Outputs) != len(client.job.Tasks) {
		w.t.Fatalf("submission %s: %d outputs for %d tasks", id, len(e.Outputs), len(client.job.Tasks))
	}
	for i, output := range e.Outputs {
		ref := identifier.TaskRef{Submission: id, Index: identifier.TaskIndex(i)}
		if string(output) != string(outputOf(ref)) {
			w.t.Fatalf("task %s: got %q", ref, output)
		}
	}
	if _, failed := client.ending.(declarer.Failed); failed {
		w.t.Fatalf("submission %s was first failed, then complete", id)
	}
	client.ending = e
}

func (w *world) checkFailed(client *worldClient, e declarer.Failed) {
	id := client.job.Submission
	if len(e.Outcomes) != len(client.job.Tasks) {
		w.t.Fatalf("submission %s: %d outcomes for %d tasks", id, len(e.Outcomes), len(client.job.Tasks))
	}
	for i, outcome := range e.Outcomes {
		ref := identifier.TaskRef{Submission: id, Index: identifier.TaskIndex(i)}
		if outcome == declarer.NeverStarted && w.starts[ref] > 0 {
			w.t.Fatalf("task %s was started, and the answer says it never was", ref)
		}
	}
	if _, complete := client.ending.(declarer.Complete); complete {
		w.t.Fatalf("submission %s was first complete, then failed: %v", id, e)
	}
	client.ending = e
}

// checkRefused holds that nothing of a refused submission has started.
func (w *world) checkRefused(id identifier.SubmissionID, e declarer.Refused) {
	for i := range w.tasksOf[id] {
		ref := identifier.TaskRef{Submission: id, Index: identifier.TaskIndex(i)}
		if w.starts[ref] > 0 {
			w.t.Fatalf("submission %s was refused (%s), and task %d was started", id, e.Cause, i)
		}
	}
}

// submit sends an attempt at a submission to a VM.
func (w *world) submit(id identifier.SubmissionID, vm *worldVM, wait bool) {
	client := w.clients[id]
	client.attempt++
	job := client.job
	job.Attempt = client.attempt
	w.last++
	w.asked[worldRequest{vm.member, w.last}] = id
	w.give(vm, SubmitAsked{Request: w.last, Job: job, Wait: wait})
}

// newJob makes a submission.
func (w *world) newJob(n int) identifier.SubmissionID {
	domain := worldDomains[w.rand.IntN(len(worldDomains))]
	id := identifier.SubmissionID(fmt.Sprintf("%s.%s", domain, uuidAt(w.now, w.rand)))
	job := declarer.Job{Submission: id, Team: "t", Profile: "p"}
	for range n {
		job.Tasks = append(job.Tasks, declarer.Task{RunTime: w.runTime()})
	}
	w.clients[id] = &worldClient{job: job}
	w.tasksOf[id] = n
	return id
}

// runTime draws the run time of a task; a few outlast their job's deadline.
func (w *world) runTime() time.Duration {
	if w.rand.IntN(stragglerOdds) == 0 {
		w.faults["straggler"]++
		return 2 * worldDeadline
	}
	return time.Duration(10+w.rand.IntN(200)) * time.Millisecond
}

// uuidAt returns a UUIDv7 of a time.
func uuidAt(at time.Time, r *rand.Rand) string {
	ms := uint64(at.UnixMilli())
	return fmt.Sprintf("%08x-%04x-7%03x-8%03x-%012x", ms>>16, ms&0xffff, r.Uint64()&0xfff, r.Uint64()&0xfff, r.Uint64()&0xffffffffffff)
}

// kill ends a VM, and boots a later incarnation in its place.
func (w *world) kill(vm *worldVM) {
	w.faults["kill"]++
	for key := range w.asked {
		if key.member == vm.member {
			delete(w.asked, key) // the connection broke; the client may ask again
		}
	}
	for _, name := range w.names() {
		if other := w.vms[name]; other != vm {
			w.give(other, PeerDown{Member: vm.member})
		}
	}
	next := w.boot(vm.member.VM, vm.domain, vm.member.Incarnation+1)
	w.changeRoster(vm.domain)
	w.join(next)
	for _, name := range w.names() {
		if other := w.vms[name]; other != next {
			w.give(other, MemberGone{Member: vm.member})
		}
	}
}

// changeRoster makes the epoch in which the domain's present processes are members.
func (w *world) changeRoster(domain identifier.FailureDomain) {
	var members []enroller.RosterMember
	for _, name := range w.names() {
		if vm := w.vms[name]; vm.domain == domain {
			members = append(members, enroller.RosterMember{Member: vm.member, Address: "x"})
		}
	}
	next, ok := w.rosters[domain].Next(w.now, members, false)
	if !ok {
		w.t.Fatalf("no room in the roster")
	}
	w.rosters[domain] = next
	for _, name := range w.names() {
		if vm := w.vms[name]; vm.domain == domain {
			w.give(vm, RosterAdopted{Roster: next})
		}
	}
}

func (w *world) setCut(a, b *worldVM, cut bool) {
	pair := pairOf(a, b)
	if w.cut[pair] == cut {
		return
	}
	w.cut[pair] = cut
	if cut {
		w.faults["cut"]++
		delete(w.links, [2]identifier.Member{a.member, b.member})
		delete(w.links, [2]identifier.Member{b.member, a.member})
		w.give(a, PeerDown{Member: b.member})
		w.give(b, PeerDown{Member: a.member})
		return
	}
	w.give(a, PeerUp{Member: b.member, Domain: b.domain})
	w.give(b, PeerUp{Member: a.member, Domain: a.domain})
}

func (w *world) pause(vm *worldVM) {
	w.faults["pause"]++
	vm.paused = true
}

func (w *world) resume(vm *worldVM) {
	inbox := vm.inbox
	vm.paused, vm.inbox = false, nil
	for _, e := range inbox {
		w.give(vm, e)
	}
}

// settle ends all faults and holds that every request is answered.
func (w *world) settle() {
	w.faults["calm"]++
	for _, name := range w.names() {
		w.resume(w.vms[name])
	}
	for pair, cut := range w.cut {
		if cut {
			w.setCut(w.vms[pair[0]], w.vms[pair[1]], false)
		}
	}
	for until := w.now.Add(settleTime); w.now.Before(until) && len(w.asked) > 0; {
		w.advance(settleTick)
	}
	for key, id := range w.asked {
		w.t.Fatalf("request %v for submission %s has no answer; %s", key, id, w.describe(id))
	}
}

// drawVM draws one of the VMs.
func (w *world) drawVM(t *rapid.T, label string) *worldVM {
	return w.vms[rapid.SampledFrom(w.names()).Draw(t, label)]
}

func (w *world) drawSubmission(t *rapid.T) (identifier.SubmissionID, bool) {
	ids := slices.Sorted(maps.Keys(w.clients))
	if len(ids) == 0 {
		return "", false
	}
	return rapid.SampledFrom(ids).Draw(t, "submission"), true
}

// TestOutcomesUnderFaults drives several machines through kills, pauses, cuts,
// refused starts, lost answers, cancellations and resubmissions anywhere.
func TestOutcomesUnderFaults(t *testing.T) {
	reached := map[string]int{}
	histories := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), defects{})
		steps := rapid.IntRange(20, 80).Draw(t, "steps")
		for range steps {
			w.act(t)
			for range rapid.IntRange(0, 20).Draw(t, "ticks") {
				w.advance(worldTick)
			}
		}
		w.settle()
		histories++
		for kind, n := range w.faults {
			reached[kind] += n
		}
	})
	t.Logf("%d histories; reached %v", histories, reached)
	for _, kind := range []string{"kill", "pause", "cut", "startRefused", "answerLost", "taskFailed", "straggler", "cancel", "resubmit"} {
		if reached[kind] == 0 {
			t.Errorf("no history reached a fault of kind %s", kind)
		}
	}
}

// act does one thing that clients, operators or faults do.
func (w *world) act(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0, 1, 2:
		id := w.newJob(rapid.IntRange(1, 8).Draw(t, "tasks"))
		w.submit(id, w.drawVM(t, "vm"), rapid.Bool().Draw(t, "wait"))
	case 3, 4:
		if id, ok := w.drawSubmission(t); ok {
			w.faults["resubmit"]++
			w.submit(id, w.drawVM(t, "vm"), true)
		}
	case 5:
		if id, ok := w.drawSubmission(t); ok {
			w.cancel(id, w.drawVM(t, "vm"))
		}
	case 6:
		w.kill(w.drawVM(t, "victim"))
	case 7:
		w.pause(w.drawVM(t, "paused"))
	case 8:
		if vm := w.drawVM(t, "resumed"); vm.paused {
			w.resume(vm)
		}
	case 9:
		a, b := w.drawVM(t, "a"), w.drawVM(t, "b")
		if a != b {
			w.setCut(a, b, rapid.Bool().Draw(t, "cut"))
		}
	}
}

func (w *world) cancel(id identifier.SubmissionID, vm *worldVM) {
	w.faults["cancel"]++
	w.last++
	w.asked[worldRequest{vm.member, w.last}] = id
	w.give(vm, CancelAsked{Request: w.last, Team: "t", Submission: id})
}

// violation is what a world found, in tests that expect one.
type violation string

// catcher panics with the violation that it is told.
type catcher struct{}

// Fatalf implements failer.
func (catcher) Fatalf(format string, args ...any) { panic(violation(fmt.Sprintf(format, args...))) }

// TestDefectsAreCaught holds that the checks of the world find what they are
// there for.
func TestDefectsAreCaught(t *testing.T) {
	for name, d := range map[string]defects{
		"a lost task starts again":                 {restartLost: true},
		"an overdue job is refused though it ran":  {refuseStarted: true},
		"an output goes to the wrong task":         {mixOutputs: true},
		"a job ends before its last task":          {endEarly: true},
		"a resubmission starts without its claim":  {skipClaim: true},
		"a forwarded request is forgotten":         {dropForwards: true},
		"a task of a failed job is reported wrong": {denyStarts: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(200) {
				if found := findViolation(seed, d); found != "" {
					t.Logf("seed %d: %s", seed, found)
					return
				}
			}
			t.Error("not caught in 200 histories")
		})
	}
}

// findViolation runs one history and returns what it violates.
func findViolation(seed uint64, d defects) (found violation) {
	defer func() {
		if r := recover(); r != nil {
			v, ok := r.(violation)
			if !ok {
				panic(r)
			}
			found = v
		}
	}()
	w := newWorld(catcher{}, seed, d)
	for range 40 {
		w.actAtRandom()
		for range w.rand.IntN(20) {
			w.advance(worldTick)
		}
	}
	w.settle()
	return ""
}

// actAtRandom does one thing, drawn from the world's own generator.
func (w *world) actAtRandom() {
	names := w.names()
	vm := w.vms[names[w.rand.IntN(len(names))]]
	ids := slices.Sorted(maps.Keys(w.clients))
	switch action := w.rand.IntN(8); {
	case action < 4 || len(ids) == 0:
		w.submit(w.newJob(1+w.rand.IntN(8)), vm, true)
	case action < 6:
		w.submit(ids[w.rand.IntN(len(ids))], vm, true)
	case action < 7:
		w.cancel(ids[w.rand.IntN(len(ids))], vm)
	default:
		w.kill(vm)
	}
}

// describe says where a submission stands on each VM.
func (w *world) describe(id identifier.SubmissionID) string {
	text := ""
	for _, name := range w.names() {
		m := w.vms[name].machine
		if j, ok := m.jobs[id]; ok {
			text += fmt.Sprintf("%s: claimed %v admitted %v ended %d of %d; ", name, j.claimed, j.admitted, j.ended, len(j.states))
		}
		if record, ok := m.claimer.Find(id); ok {
			text += fmt.Sprintf("%s: record %+v; ", name, record)
		}
		for _, number := range m.sortedForwards() {
			if subjectID, _ := subject(m.forwards[number].message); subjectID == id {
				text += fmt.Sprintf("%s: forward %+v; ", name, m.forwards[number])
			}
		}
	}
	return text
}
