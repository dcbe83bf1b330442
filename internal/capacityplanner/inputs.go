package capacityplanner

// inputs are the figures that the derivation needs.
type inputs struct {
	startUs           float64 // processor time of a start and its answer, client and stand-in server
	taskUs            float64 // processor time of all decisions on a task
	backendBytes      float64
	queuedBytes       float64
	runningBytes      float64
	teamBytes         float64
	linkBytes         float64 // both ends
	linkUs            float64 // a second, both ends
	recordBytes       float64
	claimMessages     float64
	claimBytes        float64
	claimUs           float64
	resentPerRecord   float64
	resentBytes       float64
	spreadBytes       float64 // a second and VM
	spreadUs          float64 // a change and VM
	spreadStoreCalls  float64 // a second and failure domain
	changeMessages100 float64 // a change, 100 VMs
}

// valueSpec names a figure and where it goes.
type valueSpec struct {
	into      *float64
	benchmark string
	unit      string
	scale     float64
}

func readInputs(f Figures) (in inputs, err error) {
	values := []valueSpec{
		{&in.startUs, "Start", "processor-us/op", 1},
		{&in.taskUs, "Task/size=1700", "ns/op", 1e-3},
		{&in.claimMessages, "Claim", "messages/claim", 1},
		{&in.claimBytes, "Claim", "wireBytes/claim", 1},
		{&in.claimUs, "Claim", "ns/op", 1e-3},
		{&in.resentBytes, "Takeover/records=100000", "wireBytes/resent", 1},
		{&in.spreadBytes, "Spread/vms=100", "bytes/s/VM", 1},
		{&in.spreadUs, "Spread/vms=100", "cpu-us/change/VM", 1},
		{&in.spreadStoreCalls, "Spread/vms=100", "storecalls/s/domain", 1},
		{&in.changeMessages100, "Spread/vms=100", "messages/change", 1},
	}
	for _, v := range values {
		value, err := f.Value(v.benchmark, v.unit)
		if err != nil {
			return inputs{}, err
		}
		*v.into = value * v.scale
	}
	slopes := []struct {
		into                    *float64
		benchmark, prefix, unit string
	}{
		{&in.backendBytes, "Backend", "size", "bytes/item"},
		{&in.queuedBytes, "Queued", "size", "bytes/item"},
		{&in.runningBytes, "RunningTask", "size", "bytes/item"},
		{&in.teamBytes, "Team", "size", "bytes/item"},
		{&in.recordBytes, "Record", "size", "heapBytes/record"},
		{&in.linkBytes, "IdleLinks", "size", "bytes/item"},
		{&in.linkUs, "IdleLinks", "size", "cpu-us/s/item"},
		{&in.resentPerRecord, "Takeover", "records", "resent/record"},
	}
	for _, s := range slopes {
		if *s.into, _, err = f.Slope(s.benchmark, s.prefix, s.unit); err != nil {
			return inputs{}, err
		}
	}
	return in, nil
}
