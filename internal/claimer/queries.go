package claimer

import (
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Route returns the home of a submission of this failure domain under the
// roster in force. It returns false without a roster, or when no member of it
// holds claims.
func (c *Claimer) Route(id identifier.SubmissionID) (home identifier.Member, ok bool) {
	if c.roster == nil {
		return identifier.Member{}, false
	}
	p := c.pair(shardOf(id))
	return p.Home, !p.empty()
}

// Find returns what this VM keeps of a submission.
func (c *Claimer) Find(id identifier.SubmissionID) (record peermessenger.ClaimRecord, ok bool) {
	r := c.records.get(id)
	if r == nil {
		return peermessenger.ClaimRecord{}, false
	}
	return *r, true
}

// Stats are figures of a Claimer.
type Stats struct {
	Records     int              `json:"records"`
	Bytes       identifier.Bytes `json:"bytes"`   // of records with endings, as estimated
	Endings     identifier.Bytes `json:"endings"` // of endings, as estimated
	Undecided   int              `json:"undecided"`
	Running     int              `json:"running"`
	WholeShards int              `json:"wholeShards"`
	OwnShards   int              `json:"ownShards"` // of whose pair this VM is one
	Epoch       identifier.Epoch `json:"epoch"`
	Promised    identifier.Epoch `json:"promised"`
}

// Stats returns the present figures.
func (c *Claimer) Stats() Stats {
	s := Stats{
		Records:   c.records.count,
		Bytes:     c.records.bytes,
		Endings:   c.records.endings,
		Undecided: len(c.waiting) + len(c.pending),
		Running:   len(c.running),
		Promised:  c.promised,
	}
	if c.roster == nil {
		return s
	}
	s.Epoch = c.roster.Epoch
	for i := range c.shards {
		if c.pair(Shard(i)).has(c.opts.Self) {
			s.OwnShards++
			if c.shards[i].whole >= c.roster.Epoch {
				s.WholeShards++
			}
		}
	}
	return s
}
