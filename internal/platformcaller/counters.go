package platformcaller

// Counters count the calls of one caller. A call is counted on arrival, whatever its
// outcome; a watch is counted once, however long it waits.
type Counters struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Leases  uint64 `json:"leases"` // grants, renewals and revocations
	Lists   uint64 `json:"lists"`
}

// Total returns the number of all calls.
func (c Counters) Total() uint64 {
	return c.Reads + c.Writes + c.Watches + c.Leases + c.Lists
}

func (c *Counters) add(kind CallKind) {
	switch kind {
	case GetCall:
		c.Reads++
	case SwapCall:
		c.Writes++
	case WatchCall:
		c.Watches++
	case LeaseCall:
		c.Leases++
	case ListCall:
		c.Lists++
	}
}
