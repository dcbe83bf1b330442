// Package burnreporter reports how fast each team under each profile uses up the
// error budget of its service-level objective.
//
// Each entry VM records the jobs that end on it. A report merges the snapshots of
// all entry VMs and names the VMs whose snapshot is missing.
package burnreporter

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

const (
	// bucketLength is the time resolution of the windows.
	bucketLength = 30 * time.Second
	// bucketCount is the number of buckets that cover the longest window.
	bucketCount = int64(LongestWindow / bucketLength)
	// maxSeries bounds the number of recorded pairs of team and profile.
	maxSeries = 4096

	ratioScale             = 100     // a ratio of 1 is recorded as 100
	maxRecordedRatio       = 100_000 // higher ratios are recorded as a ratio of 1,000
	ratioSignificantDigits = 2       // decimal
)

// LongestWindow is the time that a report covers.
const LongestWindow = 6 * time.Hour

// seriesKey identifies a series.
type seriesKey struct {
	team    identifier.Team
	profile identifier.ProfileName
}

// series holds the counts and ratios of one team under one profile.
type series struct {
	objective  Objective
	buckets    [bucketCount]bucket
	ratios     *hdrhistogram.Histogram
	lastBucket int64 // number of the bucket that was counted in last
}

// bucket counts the jobs of one interval of bucketLength.
type bucket struct {
	number    int64 // of the interval, counted from the Unix epoch
	good, bad uint32
}

// Recorder records ended jobs. Its methods may be called by several goroutines.
type Recorder struct {
	mu      sync.Mutex
	series  map[seriesKey]*series
	dropped int64 // observations that were not recorded because maxSeries was reached
}

// NewRecorder returns an empty Recorder.
func NewRecorder() *Recorder {
	return &Recorder{series: make(map[seriesKey]*series)}
}

// Observe records an ended job, unless its class is ignored.
func (r *Recorder) Observe(now time.Time, o Observation) {
	class := classOf(o)
	if class == ignored {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	number := bucketNumber(now)
	s := r.findOrCreate(number, seriesKey{o.Team, o.Profile})
	if s == nil {
		r.dropped++
		return
	}
	s.objective = o.Objective
	s.lastBucket = number
	s.count(number, class)
	if o.IdealDuration > 0 {
		_ = s.ratios.RecordValue(min(maxRecordedRatio, int64(o.ratio()*ratioScale))) // can't fail: min keeps the value in range
	}
}

func bucketNumber(t time.Time) int64 { return t.Unix() / int64(bucketLength/time.Second) }

// findOrCreate returns the series of a key. When the limit is reached it evicts
// the idle series first; it returns nil if there are none.
func (r *Recorder) findOrCreate(number int64, key seriesKey) *series {
	if s, ok := r.series[key]; ok {
		return s
	}
	if len(r.series) >= maxSeries && !r.evictIdle(number) {
		return nil
	}
	s := &series{ratios: newRatios()}
	r.series[key] = s
	return s
}

func newRatios() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedRatio, ratioSignificantDigits)
}

// evictIdle evicts the series without a job in the longest window, and reports
// whether there were any.
func (r *Recorder) evictIdle(number int64) (evicted bool) {
	for key, s := range r.series {
		if number-s.lastBucket > bucketCount {
			delete(r.series, key)
			evicted = true
		}
	}
	return evicted
}

func (s *series) count(number int64, class eventClass) {
	b := &s.buckets[number%bucketCount]
	if number < b.number {
		return // the clock went back by at least the longest window
	}
	if b.number != number {
		*b = bucket{number: number}
	}
	if class == good {
		b.good++
		return
	}
	b.bad++
}

// Snapshot returns the recorded series, ordered by team and profile.
func (r *Recorder) Snapshot(now time.Time, member identifier.Member) (Snapshot, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := Snapshot{Member: member, TakenAt: now, Dropped: r.dropped}
	oldest := bucketNumber(now) - bucketCount
	for key, s := range r.series {
		entry, err := s.snapshot(key, oldest)
		if err != nil {
			return Snapshot{}, err
		}
		snapshot.Series = append(snapshot.Series, entry)
	}
	slices.SortFunc(snapshot.Series, func(a, b SeriesSnapshot) int {
		return strings.Compare(string(a.Team)+"/"+string(a.Profile), string(b.Team)+"/"+string(b.Profile))
	})
	return snapshot, nil
}

func (s *series) snapshot(key seriesKey, oldest int64) (SeriesSnapshot, error) {
	ratios, err := s.ratios.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return SeriesSnapshot{}, err
	}
	entry := SeriesSnapshot{Team: key.team, Profile: key.profile, Objective: s.objective, Ratios: ratios}
	for _, b := range s.buckets {
		if b.number > oldest && b.good+b.bad > 0 {
			entry.Buckets = append(entry.Buckets, BucketCount{Number: b.number, Good: uint64(b.good), Bad: uint64(b.bad)})
		}
	}
	return entry, nil
}
