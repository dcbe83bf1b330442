package claimer

import (
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Route returns the home of a submission of this failure domain under the
// current roster. It returns false without a roster, or when all its members are
// leaving.
func (c *Claimer) Route(id identifier.SubmissionID) (home identifier.Member, ok bool) {
	if c.roster == nil {
		return identifier.Member{}, false
	}
	p := c.pair(shardOf(id))
	return p.Home, !p.empty()
}

// Find returns the record that this VM keeps of a submission.
func (c *Claimer) Find(id identifier.SubmissionID) (record peermessenger.ClaimRecord, ok bool) {
	r := c.records.get(id)
	if r == nil {
		return peermessenger.ClaimRecord{}, false
	}
	return *r, true
}

// Stats are counts and sizes of a Claimer.
type Stats struct {
	Records        int              `json:"records"`
	Bytes          identifier.Bytes `json:"bytes"`   // estimated size of records with their endings
	EndingsBytes   identifier.Bytes `json:"endings"` // estimated size of endings
	Undecided      int              `json:"undecided"`
	Running        int              `json:"running"`
	CaughtUpShards int              `json:"wholeShards"`
	OwnShards      int              `json:"ownShards"` // shards with this VM in their pair
	Epoch          identifier.Epoch `json:"epoch"`
	Promised       identifier.Epoch `json:"promised"`
}

// Stats returns the current values.
func (c *Claimer) Stats() Stats {
	s := Stats{
		Records:      c.records.count,
		Bytes:        c.records.bytes,
		EndingsBytes: c.records.endingsBytes,
		Undecided:    len(c.waiting) + len(c.pending),
		Running:      len(c.running),
		Promised:     c.promised,
	}
	if c.roster == nil {
		return s
	}
	s.Epoch = c.roster.Epoch
	for i := range c.shards {
		if c.pair(Shard(i)).has(c.opts.Self) {
			s.OwnShards++
			if c.shards[i].caughtUpEpoch >= c.roster.Epoch {
				s.CaughtUpShards++
			}
		}
	}
	return s
}
