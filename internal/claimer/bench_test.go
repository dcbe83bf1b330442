package claimer

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/enroller"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

const benchMembers = 7

// benchCluster is a failure domain of claimers whose messages arrive at once.
// It counts the messages.
type benchCluster struct {
	b        *testing.B
	claimers map[identifier.Member]*Claimer
	members  []identifier.Member
	roster   *enroller.Roster
	sent     []benchMessage
	messages int
	bytes    int
	records  int
	granted  int
}

type benchMessage struct {
	from, to identifier.Member
	message  peermessenger.Message
}

func newBenchCluster(b *testing.B) *benchCluster {
	f := &benchCluster{b: b, claimers: map[identifier.Member]*Claimer{}}
	for i := range benchMembers {
		m := member(fmt.Sprint("vm", i))
		f.members = append(f.members, m)
		f.claimers[m] = New(Options{Self: m, Domain: testDomain})
	}
	f.roster = rosterOf(f.members...)
	f.adopt(f.roster)
	return f
}

func (f *benchCluster) adopt(r *enroller.Roster) {
	f.roster = r
	for _, entry := range r.Members {
		f.step(entry.Member, RosterAdopted{r})
	}
	f.deliver()
}

func (f *benchCluster) step(m identifier.Member, e Event) {
	for _, effect := range f.claimers[m].Step(start, e) {
		switch effect := effect.(type) {
		case Send:
			f.sent = append(f.sent, benchMessage{m, effect.To, effect.Message})
		case ClaimGranted:
			f.granted++
		}
	}
}

func (f *benchCluster) deliver() {
	for len(f.sent) > 0 {
		m := f.sent[0]
		f.sent = f.sent[1:]
		data, err := peermessenger.Encode(m.message)
		if err != nil {
			f.b.Fatal(err)
		}
		f.messages++
		f.bytes += len(data)
		decoded, err := peermessenger.Decode(data)
		if err != nil {
			f.b.Fatal(err)
		}
		if page, ok := decoded.(peermessenger.RecordPage); ok {
			f.records += len(page.Records)
		}
		if f.claimers[m.to] != nil {
			f.step(m.to, PeerMessage{From: m.from, Message: decoded})
		}
	}
}

func (f *benchCluster) claim(id identifier.SubmissionID) {
	home := PairOf(f.roster, id).Home
	f.step(home, ClaimRequested{Submission: id, Team: "desk", CreatedAt: start})
	f.deliver()
}

func benchID(i int) identifier.SubmissionID {
	u := uuid.UUID{6: 0x70, 8: 0x80}
	ms := start.UnixMilli()
	for j := range 6 {
		u[j] = byte(ms >> (8 * (5 - j)))
	}
	for j := range 4 {
		u[12+j] = byte(i >> (8 * j))
	}
	return identifier.SubmissionID(testDomain + "." + u.String())
}

// BenchmarkClaim measures one claim on home and witness, including the codec.
func BenchmarkClaim(b *testing.B) {
	f := newBenchCluster(b)
	f.messages, f.bytes = 0, 0
	for i := 0; b.Loop(); i++ {
		f.claim(benchID(i % DefaultMaxRecords))
	}
	b.ReportMetric(float64(f.messages)/float64(f.granted), "messages/claim")
	b.ReportMetric(float64(f.bytes)/float64(f.granted), "wireBytes/claim")
}

// BenchmarkEnding measures the handover of endings, batched per tick of 1,000
// claims.
func BenchmarkEnding(b *testing.B) {
	f := newBenchCluster(b)
	const jobs = 1000
	messages, bytes, n := 0, 0, 0
	for i := 0; b.Loop(); i += jobs {
		for j := range jobs {
			f.claim(benchID((i + j) % DefaultMaxRecords))
		}
		f.messages, f.bytes = 0, 0
		for j := range jobs {
			id := benchID((i + j) % DefaultMaxRecords)
			f.step(PairOf(f.roster, id).Home, JobEnded{Submission: id, Ending: declarer.Complete{Outputs: [][]byte{make([]byte, 100)}}})
		}
		for _, m := range f.members {
			f.step(m, Tick{})
		}
		f.deliver()
		messages += f.messages
		bytes += f.bytes
		n += jobs
	}
	b.ReportMetric(float64(messages)/float64(n), "messages/ending")
	b.ReportMetric(float64(bytes)/float64(n), "wireBytes/ending")
}

// BenchmarkRecord measures the memory of a kept record without an ending,
// decoded as on the witness.
func BenchmarkRecord(b *testing.B) {
	for _, records := range []int{10_000, 30_000, 100_000, 300_000} {
		b.Run(fmt.Sprint("size=", records), func(b *testing.B) {
			for b.Loop() {
				measureRecords(b, records)
			}
		})
	}
}

func measureRecords(b *testing.B, records int) {
	t := newRecordTable(DefaultMaxEndingsBytes)
	before := heap()
	for i := range records {
		data, err := peermessenger.Encode(peermessenger.RecordClaim{Epoch: 1, Record: peermessenger.ClaimRecord{
			Submission: benchID(i), Team: "desk", Epoch: 1, Runner: member("vm0"), Serial: 1, CreatedAt: peermessenger.UnixMillis(start.UnixMilli()),
		}})
		if err != nil {
			b.Fatal(err)
		}
		m, err := peermessenger.Decode(data)
		if err != nil {
			b.Fatal(err)
		}
		r := m.(peermessenger.RecordClaim).Record
		t.put(&r)
	}
	b.ReportMetric(float64(heap()-before)/float64(records), "heapBytes/record")
	b.ReportMetric(float64(t.bytes)/float64(records), "estimatedBytes/record")
	runtime.KeepAlive(&t)
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkTakeover measures how the records of a failure domain move when one
// of seven members dies and when it is replaced.
func BenchmarkTakeover(b *testing.B) {
	for _, records := range []int{1_000, 10_000, 100_000, 300_000} {
		b.Run(fmt.Sprint("records=", records), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				f := newBenchCluster(b)
				for i := range records {
					f.claim(benchID(i))
				}
				f.messages, f.bytes, f.records = 0, 0, 0
				b.StartTimer()
				began := time.Now()
				f.replaceFirstMember()
				b.ReportMetric(float64(time.Since(began).Milliseconds()), "ms")
				b.ReportMetric(float64(f.records)/float64(records), "resent/record")
				b.ReportMetric(float64(f.messages), "messages")
				b.ReportMetric(float64(f.bytes)/float64(max(f.records, 1)), "wireBytes/resent")
				f.checkCaughtUp()
			}
		})
	}
}

// replaceFirstMember ends the first member and puts its replacement on the
// roster.
func (f *benchCluster) replaceFirstMember() {
	first := f.members[0]
	next := identifier.Member{VM: first.VM, Incarnation: first.Incarnation + 1}
	f.claimers[first] = nil
	f.claimers[next] = New(Options{Self: next, Domain: testDomain})
	for _, m := range f.members[1:] {
		f.step(m, PeerUnreachable{first})
	}
	f.step(next, PeerUnreachable{first})
	f.members[0] = next
	var entries []enroller.RosterMember
	for _, m := range f.members {
		entries = append(entries, enroller.RosterMember{Member: m})
	}
	r, _ := f.roster.Next(start, entries, true)
	f.adopt(r)
}

func (f *benchCluster) checkCaughtUp() {
	for _, m := range f.members {
		if s := f.claimers[m].Stats(); s.CaughtUpShards != s.OwnShards {
			f.b.Fatalf("%s has caught up in %d of %d shards", m, s.CaughtUpShards, s.OwnShards)
		}
	}
}
