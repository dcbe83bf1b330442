package claimer

import "github.com/peppertrack/peppertrack/internal/peermessenger"

// peerRecordsFactor bounds the table for records that other members send in a
// takeover or a handover, as a multiple of MaxRecords, at which new claims are
// refused.
const peerRecordsFactor = 2

// merge stores a record sent by another member if it supersedes the known one. A
// record that has this VM as the runner is ignored: the table of this VM is
// authoritative for it.
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
	case r.EndingKind != known.EndingKind:
		return known.EndingKind == peermessenger.NotEnded
	}
	return endingOf(known) == nil && endingOf(r) != nil
}

// peerRecordsFull reports whether the table is too full for records sent in a
// takeover or a handover.
func (c *Claimer) peerRecordsFull() bool {
	return c.records.count >= peerRecordsFactor*c.opts.MaxRecords
}
