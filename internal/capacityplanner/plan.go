package capacityplanner

import "math"

const (
	secondsPerDay = 86_400
	mebibyte      = 1 << 20
	million       = 1e6
	// takeoverBenchmarkMembers is the number of members in BenchmarkTakeover.
	takeoverBenchmarkMembers = 7
	// heartbeatBytes is the size of a heartbeat on the wire, with its frame.
	heartbeatBytes = 40
	// listEntryBytes is the size of a VM's entry in the platform's list, as JSON.
	listEntryBytes = 220
	// listReadsPerSecond is how often an entry VM reads the platform's list.
	listReadsPerSecond = 1
	// queuedWorkSeconds is how many seconds of starts the queue of an entry VM is
	// sized for.
	queuedWorkSeconds = 2
)

// plan holds the values that several rows share.
type plan struct {
	size Size
	in   inputs

	entryVMs       float64
	vmsPerDomain   float64
	startsPerVM    float64 // per second
	jobsPerSecond  float64
	recordsPerVM   float64 // as home and as witness
	recordsPerHome float64 // of each failure domain
	serversPerVM   float64 // in the view of one entry VM, which holds those of its region
}

func newPlan(size Size, in inputs) plan {
	p := plan{size: size, in: in}
	cores := size.StartsPerSecond * (in.startUs + in.taskUs) / million
	p.entryVMs = math.Ceil(cores / (size.CoresPerEntryVM * size.CoreUtilization))
	p.vmsPerDomain = math.Max(2, math.Ceil(p.entryVMs/size.FailureDomains))
	p.entryVMs = p.vmsPerDomain * size.FailureDomains
	p.startsPerVM = size.StartsPerSecond / p.entryVMs
	p.jobsPerSecond = size.StartsPerSecond / size.TasksPerJob
	p.recordsPerHome = p.jobsPerSecond * size.RetentionSeconds / size.FailureDomains
	p.recordsPerVM = 2 * p.recordsPerHome / p.vmsPerDomain
	p.serversPerVM = size.BackendServers / size.Regions
	return p
}

// dataRows returns the rows on the load of serving jobs.
func (p plan) dataRows() []Row {
	return []Row{
		{"entry VMs", "number, of " + formatNumber(p.size.CoresPerEntryVM) + " cores", p.entryVMs, "VMs", 0, "starts x (processor time of a start + of its decisions) / cores in use", "one dispatch goroutine a VM; starts over HTTP/2"},
		{"entry VM", "starts", p.startsPerVM, "a second", 0, "starts / entry VMs", "limiter, placer"},
		{"entry VM", "decisions", 100 * p.startsPerVM * p.in.taskUs / million, "% of a core", 100, "Task/size=1700", "dispatcher.Machine, owned by one goroutine"},
		{"entry VM", "queued tasks for " + formatNumber(queuedWorkSeconds) + " s", queuedWorkSeconds * p.startsPerVM * p.in.queuedBytes / mebibyte, "MiB", 0, "slope of Queued", "bounded queues"},
		{"entry VM", "running tasks", p.size.BackendServers * p.size.SlotsPerServer / p.entryVMs * p.in.runningBytes / mebibyte, "MiB", 0, "slope of RunningTask, all slots in use", "limiter"},
		{"home and witness", "kept records", p.recordsPerVM * (p.in.recordBytes + p.size.AnswerBytes) / mebibyte, "MiB", 0, "jobs x retention x 2 / entry VMs x (Record + kept ending)", "claimer, 64 shards a failure domain"},
		{"home and witness", "claim messages", p.jobsPerSecond * p.in.claimMessages / p.entryVMs, "a second", 0, "Claim", "batched in frames"},
		{"home and witness", "claims", 100 * p.jobsPerSecond / p.entryVMs * p.in.claimUs / million, "% of a core", 0, "Claim, both ends and codec", "claimer"},
	}
}

// controlRows returns the rows on the load of the control plane, mostly on an
// entry VM, with its budgets.
func (p plan) controlRows() []Row {
	peers := p.entryVMs - 1
	spread := p.size.ChangesPerDay / secondsPerDay * p.in.spreadUs / million
	memory := p.serversPerVM*p.in.backendBytes + p.size.Teams*p.in.teamBytes + peers*p.in.linkBytes
	bytes := p.in.spreadBytes + (p.vmsPerDomain-1)*heartbeatBytes + p.takeoverBytesPerSecond()
	core := 100 * p.size.ControlCoreShare
	return []Row{
		{"entry VM", "links to " + formatNumber(peers) + " peers", 100 * peers * p.in.linkUs / million, "% of a core", core, "slope of IdleLinks", "full mesh; see below"},
		{"entry VM", "profiles", 100 * spread, "% of a core", core, "Spread/vms=100 x changes a day", "digests and differences"},
		{"entry VM", "view, teams, links", memory / mebibyte, "MiB", p.size.ControlMebibytes, "slopes of Backend (servers of its region), Team, IdleLinks", "placer, limiter, peerlinker"},
		{"entry VM", "sent for control", bytes, "bytes a second", p.size.ControlBytesPerSecond, "Spread + heartbeats + records of replaced VMs", "profilekeeper, enroller, claimer"},
		{"entry VM", "list of VMs", listReadsPerSecond * p.size.BackendServers * listEntryBytes, "bytes a second", p.size.ControlBytesPerSecond, "one reading a second of " + formatNumber(p.size.BackendServers) + " entries", "runner.watchVMs; see below"},
		{"watch relay", "watches and readings of the book", p.in.spreadStoreCalls, "calls a second", 0, "Spread/vms=100", "one watcher a failure domain"},
		{"store", "reads for the book", p.in.spreadStoreCalls * p.size.FailureDomains, "a second", p.size.StoreReadsPerSecond, "watch relays x failure domains", "one watcher a failure domain"},
		{"store", "reads of the list of VMs", listReadsPerSecond * p.entryVMs, "a second", p.size.StoreReadsPerSecond, "one a second and entry VM", "runner.watchVMs"},
		{"store", "writes", (p.size.ChangesPerDay + 2*p.entryVMReplacementsPerDay()) / secondsPerDay, "a second", p.size.StoreWritesPerSecond, "changes + two roster changes for each replaced entry VM", "compare-and-swap"},
	}
}

// entryVMReplacementsPerDay assumes that replaced VMs are spread evenly over entry
// VMs and backend servers.
func (p plan) entryVMReplacementsPerDay() float64 {
	share := p.entryVMs / (p.entryVMs + p.size.BackendServers)
	return p.size.VMsReplacedPerDay * share
}

// recordsResentPerLoss returns the number of records that are resent when one
// entry VM is lost.
func (p plan) recordsResentPerLoss() float64 {
	perMember := p.in.resentPerRecord * takeoverBenchmarkMembers
	return p.recordsPerHome * math.Min(perMember/p.vmsPerDomain, 2)
}

// takeoverBytesPerSecond returns what one entry VM sends for replaced entry VMs.
func (p plan) takeoverBytesPerSecond() float64 {
	perDay := p.entryVMReplacementsPerDay() * p.recordsResentPerLoss() * (p.in.resentBytes + p.size.AnswerBytes)
	return perDay / secondsPerDay / p.entryVMs
}

// stormRows returns the rows on the load of rare events, such as the loss of a
// failure domain.
func (p plan) stormRows() []Row {
	perLoss := p.recordsResentPerLoss() * (p.in.resentBytes + p.size.AnswerBytes)
	tasksOfDomain := p.size.BackendServers * p.size.SlotsPerServer / p.size.FailureDomains
	return []Row{
		{"an entry VM lost", "records sent", p.recordsResentPerLoss(), "records", 0, "Takeover: slope x 7 / entry VMs of the failure domain", "claimer, pages of bounded size"},
		{"an entry VM lost", "bytes sent in its failure domain", perLoss / mebibyte, "MiB", 0, "records x (bytes a resent record + kept ending)", "claimer"},
		{"an entry VM lost", "jobs whose answer is not known", p.jobsPerSecond / p.entryVMs * meanJobSeconds(p.size), "jobs", 0, "jobs a second x mean job", "unverifiable answers"},
		{"a failure domain lost", "running tasks lost", tasksOfDomain, "tasks", 0, "slots of the failure domain", "failed or unverifiable answers; never started again"},
		{"a failure domain back", "reads of its entry VMs", 3 * p.vmsPerDomain, "calls", 0, "roster, book, list of VMs of each", "jitter and backoff"},
		{"regions reconnect", "links made", 2 * p.entryVMs * (1 - 1/p.size.Regions), "links a region of " + formatNumber(p.entryVMs/p.size.Regions) + " VMs", 0, "full mesh", "redial with backoff up to 0.5 s"},
		{"regions reconnect", "changes caught up after 10 minutes", p.size.ChangesPerDay / secondsPerDay * 600, "changes", 0, "changes a day", "one difference or book a VM, within a byte budget"},
		{"the store back after an hour", "changes that were refused", p.size.ChangesPerDay / 24, "changes", 0, "changes a day", "refused as not made; nothing is queued"},
	}
}

// meanJobSeconds returns the mean duration of a job in seconds. It assumes that
// all slots are in use at the peak.
func meanJobSeconds(s Size) float64 {
	return s.BackendServers * s.SlotsPerServer / s.StartsPerSecond
}
