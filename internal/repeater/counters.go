package repeater

// Counters count the decisions of a Machine since its start.
type Counters struct {
	Admitted       uint64 `json:"admitted"`
	Joined         uint64 `json:"joined"`
	Refused        uint64 `json:"refused"`
	Completed      uint64 `json:"completed"`
	Failed         uint64 `json:"failed"`
	Lost           uint64 `json:"lost"`
	TimedOut       uint64 `json:"timedOut"`
	Abandoned      uint64 `json:"abandoned"`
	Starts         uint64 `json:"starts"`
	StartsFailed   uint64 `json:"startsFailed"`
	Stops          uint64 `json:"stops"`
	Polls          uint64 `json:"looks"`
	Takeovers      uint64 `json:"takeovers"`
	Released       uint64 `json:"released"`
	OwnershipsLost uint64 `json:"fenced"`
	Assignments    uint64 `json:"assignments"`  // owners of servers that were computed
	ServersGone    uint64 `json:"serversGone"`  // servers that refused connections
	TasksGivenUp   uint64 `json:"tasksGivenUp"` // tasks that were lost with too many servers
	PeersLost      uint64 `json:"peersLost"`
	Stalled        uint64 `json:"stalled"` // lagging runs that were stopped
	Pauses         uint64 `json:"pauses"`  // of this VM
	RoutesVersion  uint64 `json:"routesVersion"`
	TasksReturned  uint64 `json:"tasksReturned"` // to their homes, for want of room
	TasksOverdue   uint64 `json:"tasksOverdue"`  // returned because their job's objective had passed
	Evacuations    uint64 `json:"evacuations"`   // of failure domains, learned of
	TasksMoved     uint64 `json:"tasksMoved"`    // returned to their homes because of evacuations
	PairsApart     int    `json:"pairsApart"`    // kinds of tasks that this VM has found to disturb each other
	Evacuated      int    `json:"evacuatedDomains"`
	ColdServers    int    `json:"coldServers"` // own ones that are slow after their start
	Queue          int    `json:"queue"`
	OpenJobs       int    `json:"openJobs"`
	Owned          int    `json:"ownedServers"`
	Runs           int    `json:"runs"`
}

// Counters returns the counts so far and the current levels.
func (m *Machine) Counters() Counters {
	c := m.counters
	if m.routes != nil {
		c.RoutesVersion = uint64(m.routes.Version)
	}
	if m.pairs != nil {
		c.PairsApart = len(m.pairs.found)
	}
	c.Evacuated = len(m.evacuations.Domains())
	for _, o := range m.owned {
		if o.coldLeft(m.now) > 0 {
			c.ColdServers++
		}
	}
	c.Queue = len(m.queue)
	c.OpenJobs = len(m.jobs)
	c.Owned = len(m.owned)
	c.Runs = m.ownedRunCount()
	return c
}
