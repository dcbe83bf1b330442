package claimer

import (
	"slices"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// recordOverheadBytes estimates the memory of a record without its id and its
// ending.
const recordOverheadBytes = 320

// expiryBucketMillis is the width of the intervals of creation time whose
// records expire together.
const expiryBucketMillis = 10_000

// recordTable holds claim records by shard and by age. When the size of all
// endings exceeds maxEndingsBytes, it drops the earliest stored endings; their
// records then have only the kind of the ending.
type recordTable struct {
	shards  [ShardCount]map[identifier.SubmissionID]*peermessenger.ClaimRecord
	buckets map[peermessenger.UnixMillis][]identifier.SubmissionID
	count   int
	bytes   identifier.Bytes // estimated, with endings

	maxEndingsBytes identifier.Bytes
	endingsBytes    identifier.Bytes
	ended           []identifier.SubmissionID // ids with an ending, earliest first; some may have none any more
}

func newRecordTable(maxEndingsBytes identifier.Bytes) recordTable {
	t := recordTable{
		buckets:         map[peermessenger.UnixMillis][]identifier.SubmissionID{},
		maxEndingsBytes: maxEndingsBytes,
	}
	for s := range t.shards {
		t.shards[s] = map[identifier.SubmissionID]*peermessenger.ClaimRecord{}
	}
	return t
}

func (t *recordTable) get(id identifier.SubmissionID) *peermessenger.ClaimRecord {
	return t.shards[shardOf(id)][id]
}

// put stores a record and replaces an earlier one with the same id.
func (t *recordTable) put(r *peermessenger.ClaimRecord) {
	shard := t.shards[shardOf(r.Submission)]
	old, ok := shard[r.Submission]
	if ok {
		t.subtract(old)
	}
	if !ok || bucketOf(old) != bucketOf(r) {
		t.buckets[bucketOf(r)] = append(t.buckets[bucketOf(r)], r.Submission)
	}
	shard[r.Submission] = r
	t.count++
	t.bytes += recordSize(r)
	if size := endingSize(r); size > 0 {
		t.endingsBytes += size
		t.ended = append(t.ended, r.Submission)
		t.trimEndings()
	}
}

func (t *recordTable) subtract(r *peermessenger.ClaimRecord) {
	t.count--
	t.bytes -= recordSize(r)
	t.endingsBytes -= endingSize(r)
}

// trimEndings drops the earliest endings until their size is within the bound.
func (t *recordTable) trimEndings() {
	for t.endingsBytes > t.maxEndingsBytes && len(t.ended) > 0 {
		id := t.ended[0]
		t.ended = t.ended[1:]
		if r := t.get(id); r != nil && endingSize(r) > 0 {
			t.put(withoutEnding(r))
		}
	}
}

// trimEndedList drops the leading ids that have no ending any more.
func (t *recordTable) trimEndedList() {
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
	t.subtract(r)
	delete(shard, id)
}

// expire drops the records of ids created before the given time, rounded down
// to a bucket.
func (t *recordTable) expire(before peermessenger.UnixMillis) {
	for bucket, ids := range t.buckets {
		if bucket+expiryBucketMillis > before {
			continue
		}
		for _, id := range ids {
			if r := t.get(id); r != nil && bucketOf(r) == bucket {
				t.drop(id)
			}
		}
		delete(t.buckets, bucket)
	}
	t.trimEndedList()
}

// idsAfter returns the ids of a shard that follow the given one, in ascending
// order.
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
	return r.CreatedAt - r.CreatedAt%expiryBucketMillis
}

func recordSize(r *peermessenger.ClaimRecord) identifier.Bytes {
	return recordOverheadBytes + identifier.Bytes(len(r.Submission)) + endingSize(r)
}

func endingSize(r *peermessenger.ClaimRecord) (size identifier.Bytes) {
	if r.Complete != nil {
		size = sliceOverheadBytes
		for _, output := range r.Complete.Outputs {
			size += identifier.Bytes(len(output)) + sliceOverheadBytes
		}
	}
	if r.Failed != nil {
		size = sliceOverheadBytes + identifier.Bytes(len(r.Failed.Detail)) + identifier.Bytes(len(r.Failed.Outcomes))*sliceOverheadBytes
	}
	return size
}

// sliceOverheadBytes estimates the memory of one output or outcome.
const sliceOverheadBytes = 24

// endingOf returns the ending in a record, or nil when the record has none.
func endingOf(r *peermessenger.ClaimRecord) declarer.Ending {
	switch {
	case r.Complete != nil:
		return *r.Complete
	case r.Failed != nil:
		return *r.Failed
	}
	return nil
}

// withoutEnding returns the record without its ending; the kind of the ending
// stays.
func withoutEnding(r *peermessenger.ClaimRecord) *peermessenger.ClaimRecord {
	short := *r
	short.Complete, short.Failed = nil, nil
	return &short
}
