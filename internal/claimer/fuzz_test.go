package claimer

import (
	"testing"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// FuzzPeerMessage decodes bytes as a message from a peer and delivers it to a
// member that is in the pair of every shard.
func FuzzPeerMessage(f *testing.F) {
	a, b := member("a"), member("b")
	record := peermessenger.ClaimRecord{Submission: "order:1", Epoch: 1, Runner: a, Serial: 1}
	claim := peermessenger.ClaimRef{Submission: "order:1", Serial: 1}
	for _, m := range []peermessenger.Message{
		peermessenger.RecordClaim{Epoch: 1, Record: record},
		peermessenger.ClaimRecorded{Epoch: 1, Claim: claim},
		peermessenger.ClaimNotRecorded{Epoch: 1, Claim: claim, Cause: peermessenger.TableFull},
		peermessenger.FetchRecords{Epoch: 2, Shards: 1<<63 | 1, From: peermessenger.ShardCursor{Shard: 255}},
		peermessenger.RecordPage{Epoch: 1, Records: []peermessenger.ClaimRecord{record}, States: []peermessenger.ShardState{{Shard: 64}}},
		peermessenger.HandOverRecords{Number: 1, Records: []peermessenger.ClaimRecord{record}},
		peermessenger.HandoverAcknowledged{Number: 1, Epoch: 1},
		peermessenger.QueryClaim{Epoch: 1, Claim: claim},
		peermessenger.ClaimState{Claim: claim},
	} {
		data, err := peermessenger.Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		m, err := peermessenger.Decode(data)
		if err != nil {
			return
		}
		c := New(Options{Self: b, Domain: testDomain})
		c.Step(start, RosterAdopted{rosterOf(a, b)})
		c.Step(start, ClaimRequested{Submission: "order:1", CreatedAt: start})
		c.Step(start, PeerMessage{From: a, Message: m})
		c.Step(start, Tick{})
	})
}

// FuzzParseSubmission checks that every accepted id is within the bounds.
func FuzzParseSubmission(f *testing.F) {
	f.Add("perth-a.01900000-0000-7000-8000-000000000001")
	f.Add("order:1")
	f.Add(".01900000-0000-7000-8000-000000000001")
	f.Fuzz(func(t *testing.T, id string) {
		s, err := ParseSubmission(identifier.SubmissionID(id), start)
		if err != nil {
			return
		}
		if len(id) > MaxSubmissionLength || len(s.Domain) > MaxDomainLength || s.Shard >= ShardCount {
			t.Errorf("ParseSubmission(%q) = %+v", id, s)
		}
	})
}
