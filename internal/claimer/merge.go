package claimer

import "github.com/peppertrack/peppertrack/internal/peermessenger"

// takeoverRoom bounds the records that other members hand over, as a multiple
// of the bound for new claims.
const takeoverRoom = 2

// merge keeps a record of another member if it tells more than what is known.
// What this VM has granted itself it knows best.
func (c *Claimer) merge(r *peermessenger.ClaimRecord) {
	if r.Runner == c.opts.Self || r.CreatedAt < c.millis(-c.opts.Retention-recordMargin*c.opts.ClockBound) {
		return
	}
	known := c.records.get(r.Submission)
	if known != nil && !supersedes(r, known) {
		return
	}
	kept := *r
	c.records.put(&kept)
}

// supersedes reports whether a record tells more than another of the same id.
// The later claim counts: it was made with the knowledge of the earlier one.
func supersedes(r, known *peermessenger.ClaimRecord) bool {
	switch {
	case r.Epoch != known.Epoch:
		return r.Epoch > known.Epoch
	case r.Serial != known.Serial:
		return r.Serial > known.Serial
	case r.Kind != known.Kind:
		return known.Kind == peermessenger.NotEnded
	}
	return endingOf(known) == nil && endingOf(r) != nil
}

// overflowing reports whether no more records can be taken over.
func (c *Claimer) overflowing() bool {
	return c.records.count >= takeoverRoom*c.opts.MaxRecords
}
