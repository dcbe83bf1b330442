package claimer

import "github.com/peppertrack/peppertrack/internal/peermessenger"

// takeoverFactor bounds the records taken over from other members, as a
// multiple of the bound for new claims.
const takeoverFactor = 2

// merge stores another member's record if it supersedes the known one. This
// VM's own record of a claim that it granted is authoritative.
func (c *Claimer) merge(r *peermessenger.ClaimRecord) {
	if r.Runner == c.opts.Self || r.CreatedAt < c.nowPlus(-c.opts.Retention-recordMargin*c.opts.ClockBound) {
		return
	}
	known := c.records.get(r.Submission)
	if known != nil && !supersedes(r, known) {
		return
	}
	kept := *r
	c.records.put(&kept)
}

// supersedes reports whether a record is newer or more complete than another
// one of the same id. The later claim takes precedence: it was made with
// knowledge of the earlier one.
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

// takeoverFull reports whether no more records can be taken over.
func (c *Claimer) takeoverFull() bool {
	return c.records.count >= takeoverFactor*c.opts.MaxRecords
}
