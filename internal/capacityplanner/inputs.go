package capacityplanner

// inputs holds the figures from which the rows are derived.
type inputs struct {
	startUs           float64 // processor time of a start and its answer, in the client and the stand-in server
	taskUs            float64 // processor time of all decisions on a task
	backendBytes      float64
	queuedBytes       float64
	runningBytes      float64
	teamBytes         float64
	linkBytes         float64 // both ends
	linkUs            float64 // per second, both ends
	recordBytes       float64
	claimMessages     float64
	claimBytes        float64
	claimUs           float64
	resentPerRecord   float64
	resentBytes       float64
	spreadBytes       float64 // per second and VM
	spreadUs          float64 // per change and VM
	spreadStoreCalls  float64 // per second and failure domain
	changeMessages100 float64 // per change, with 100 VMs
}

// valueSpec names a figure and the input that it sets.
type valueSpec struct {
	target    *float64
	benchmark string
	unit      string
	scale     float64
}

// readInputs returns the inputs. A missing figure is a *MissingFigureError.
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
		*v.target = value * v.scale
	}
	slopes := []struct {
		target                  *float64
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
		if *s.target, _, err = f.Slope(s.benchmark, s.prefix, s.unit); err != nil {
			return inputs{}, err
		}
	}
	return in, nil
}
