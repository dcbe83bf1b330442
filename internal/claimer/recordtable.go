package claimer

import (
	"slices"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// recordOverhead estimates the memory of a record without its id and its
// ending, in bytes.
const recordOverhead = 320

// expiryBucket is the width of the intervals of creation time in which records
// are dropped together, in milliseconds.
const expiryBucket = 10_000

// recordTable keeps claim records by shard and by age. Above its bound it keeps
// the earliest endings by kind only.
type recordTable struct {
	shards  [ShardCount]map[identifier.SubmissionID]*peermessenger.ClaimRecord
	buckets map[peermessenger.UnixMillis][]identifier.SubmissionID
	count   int
	bytes   identifier.Bytes // with endings

	maxEndings identifier.Bytes
	endings    identifier.Bytes
	ended      []identifier.SubmissionID // with an ending, the earliest first; some may have lost it since
}

func newRecordTable(maxEndings identifier.Bytes) recordTable {
	t := recordTable{
		buckets:    map[peermessenger.UnixMillis][]identifier.SubmissionID{},
		maxEndings: maxEndings,
	}
	for s := range t.shards {
		t.shards[s] = map[identifier.SubmissionID]*peermessenger.ClaimRecord{}
	}
	return t
}

func (t *recordTable) get(id identifier.SubmissionID) *peermessenger.ClaimRecord {
	return t.shards[shardOf(id)][id]
}

// put keeps a record in place of an earlier one of the same id.
func (t *recordTable) put(r *peermessenger.ClaimRecord) {
	shard := t.shards[shardOf(r.Submission)]
	old, ok := shard[r.Submission]
	if ok {
		t.uncount(old)
	}
	if !ok || bucketOf(old) != bucketOf(r) {
		t.buckets[bucketOf(r)] = append(t.buckets[bucketOf(r)], r.Submission)
	}
	shard[r.Submission] = r
	t.count++
	t.bytes += recordSize(r)
	if size := endingSize(r); size > 0 {
		t.endings += size
		t.ended = append(t.ended, r.Submission)
		t.trimEndings()
	}
}

func (t *recordTable) uncount(r *peermessenger.ClaimRecord) {
	t.count--
	t.bytes -= recordSize(r)
	t.endings -= endingSize(r)
}

// trimEndings drops the earliest endings above the bound.
func (t *recordTable) trimEndings() {
	for t.endings > t.maxEndings && len(t.ended) > 0 {
		id := t.ended[0]
		t.ended = t.ended[1:]
		if r := t.get(id); r != nil && endingSize(r) > 0 {
			t.put(withoutEnding(r))
		}
	}
}

// trimEnded drops the ids at the head of the list that have no ending any more.
func (t *recordTable) trimEnded() {
	for len(t.ended) > 0 {
		if r := t.get(t.ended[0]); r != nil && endingSize(r) > 0 {
			return
		}
		t.ended = t.ended[1:]
	}
}

func (t *recordTable) drop(id identifier.SubmissionID) {
	shard := t.shards[shardOf(id)]
	r, ok := shard[id]
	if !ok {
		return
	}
	t.uncount(r)
	delete(shard, id)
}

// expire drops the records of ids made before the given time, to the bucket.
func (t *recordTable) expire(before peermessenger.UnixMillis) {
	for bucket, ids := range t.buckets {
		if bucket+expiryBucket > before {
			continue
		}
		for _, id := range ids {
			if r := t.get(id); r != nil && bucketOf(r) == bucket {
				t.drop(id)
			}
		}
		delete(t.buckets, bucket)
	}
	t.trimEnded()
}

// idsAfter returns the ids of a shard that follow the given one, in order.
func (t *recordTable) idsAfter(s Shard, after identifier.SubmissionID) []identifier.SubmissionID {
	ids := make([]identifier.SubmissionID, 0, len(t.shards[s]))
	for id := range t.shards[s] {
		if id > after {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func bucketOf(r *peermessenger.ClaimRecord) peermessenger.UnixMillis {
	return r.CreatedAt - r.CreatedAt%expiryBucket
}

func recordSize(r *peermessenger.ClaimRecord) identifier.Bytes {
	return recordOverhead + identifier.Bytes(len(r.Submission)) + endingSize(r)
}

func endingSize(r *peermessenger.ClaimRecord) (size identifier.Bytes) {
	if r.Complete != nil {
		size = sliceOverhead
		for _, output := range r.Complete.Outputs {
			size += identifier.Bytes(len(output)) + sliceOverhead
		}
	}
	if r.Failed != nil {
		size = sliceOverhead + identifier.Bytes(len(r.Failed.Detail)) + identifier.Bytes(len(r.Failed.Outcomes))*sliceOverhead
	}
	return size
}

// sliceOverhead estimates the memory of one output or outcome, in bytes.
const sliceOverhead = 24

// endingOf returns the kept ending, or nil when it is not kept here.
func endingOf(r *peermessenger.ClaimRecord) declarer.Ending {
	switch {
	case r.Complete != nil:
		return *r.Complete
	case r.Failed != nil:
		return *r.Failed
	}
	return nil
}

// withoutEnding returns the record without its ending, of which only the kind
// remains.
func withoutEnding(r *peermessenger.ClaimRecord) *peermessenger.ClaimRecord {
	short := *r
	short.Complete, short.Failed = nil, nil
	return &short
}
