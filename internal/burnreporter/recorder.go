// Package burnreporter reports how fast each profile and team uses up the error
// budget of its service-level objective.
//
// Each entry VM records the jobs that end there. A report merges the snapshots
// of all entry VMs, and names those whose snapshot is missing.
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
	// bucketLength is the resolution of the windows.
	bucketLength = 30 * time.Second
	// bucketCount buckets cover the longest window.
	bucketCount = int64(LongestWindow / bucketLength)
	// maxSeries bounds the pairs of team and profile that are recorded.
	maxSeries = 4096

	ratioScale   = 100     // recorded values a ratio of 1
	largestRatio = 100_000 // recorded value: a ratio of 1,000
	ratioDigits  = 2       // significant decimal digits
)

// LongestWindow is how far back a report reaches.
const LongestWindow = 6 * time.Hour

// seriesKey names what is recorded apart.
type seriesKey struct {
	team    identifier.Team
	profile identifier.ProfileName
}

// series holds what is recorded of one team and profile.
type series struct {
	objective Objective
	buckets   [bucketCount]bucket
	ratios    *hdrhistogram.Histogram
	lastUse   int64 // number of the bucket that was last counted in
}

// bucket counts the jobs of one stretch of time.
type bucket struct {
	number    int64 // of the stretch since the epoch of Unix time
	good, bad uint32
}

// Recorder records ended jobs. Its methods may be called by several goroutines.
type Recorder struct {
	mu      sync.Mutex
	series  map[seriesKey]*series
	dropped int64 // observations for which there was no room
}

// NewRecorder returns an empty Recorder.
func NewRecorder() *Recorder {
	return &Recorder{series: make(map[seriesKey]*series)}
}

// Observe records an ended job.
func (r *Recorder) Observe(now time.Time, o Observation) {
	v := verdictOf(o)
	if v == ignored {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	number := bucketNumber(now)
	s := r.find(number, seriesKey{o.Team, o.Profile})
	if s == nil {
		r.dropped++
		return
	}
	s.objective = o.Objective
	s.lastUse = number
	s.count(number, v)
	if o.Ideal > 0 {
		_ = s.ratios.RecordValue(min(largestRatio, int64(o.ratio()*ratioScale))) // in range by the bound
	}
}

func bucketNumber(t time.Time) int64 { return t.Unix() / int64(bucketLength/time.Second) }

// find returns the series of a key, in place of an idle one when there is no room.
func (r *Recorder) find(number int64, key seriesKey) *series {
	if s, ok := r.series[key]; ok {
		return s
	}
	if len(r.series) >= maxSeries && !r.dropIdle(number) {
		return nil
	}
	s := &series{ratios: newRatios()}
	r.series[key] = s
	return s
}

func newRatios() *hdrhistogram.Histogram { return hdrhistogram.New(1, largestRatio, ratioDigits) }

// dropIdle drops the series that no window of a report reaches any more.
func (r *Recorder) dropIdle(number int64) (dropped bool) {
	for key, s := range r.series {
		if number-s.lastUse > bucketCount {
			delete(r.series, key)
			dropped = true
		}
	}
	return dropped
}

func (s *series) count(number int64, v verdict) {
	b := &s.buckets[number%bucketCount]
	if number < b.number {
		return // a clock that went back by more than the longest window
	}
	if b.number != number {
		*b = bucket{number: number}
	}
	if v == good {
		b.good++
		return
	}
	b.bad++
}

// Snapshot returns what is recorded, ordered by team and profile.
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
