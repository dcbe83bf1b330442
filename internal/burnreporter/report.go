package burnreporter

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Windows are the periods up to now for which a report states the burn rate.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, LongestWindow}

const (
	// pointLength is the interval that one point of a plot covers.
	pointLength     = 5 * time.Minute
	bucketsPerPoint = int64(pointLength / bucketLength)
)

// Report is the merged view of all entry VMs.
type Report struct {
	TakenAt  time.Time   `json:"takenAt"`
	Included []string    `json:"included"`          // entry VMs whose figures are included
	Missing  []MissingVM `json:"missing,omitempty"` // entry VMs whose figures are missing
	Dropped  int64       `json:"dropped,omitempty"` // jobs that entry VMs could not record because maxSeries was reached
	Rows     []Row       `json:"rows"`
}

// MissingVM is an entry VM whose figures are not in a report.
type MissingVM struct {
	VM     identifier.VMID `json:"vm"`
	Reason string          `json:"reason"`
}

// Row is the report on one team under one profile.
type Row struct {
	Team       identifier.Team        `json:"team"`
	Profile    identifier.ProfileName `json:"profile"`
	Objective  Objective              `json:"objective"`
	Windows    []WindowBurn           `json:"windows"`    // in the order of Windows
	BudgetLeft float64                `json:"budgetLeft"` // share of the longest window's error budget; below 0 when overspent
	P50        float64                `json:"p50"`        // of the response time over the ideal
	P99        float64                `json:"p99"`
	Points     []Point                `json:"points"` // over the longest window, oldest first
}

// WindowBurn is the burn rate over one window.
type WindowBurn struct {
	Seconds  int64   `json:"seconds"`
	Good     uint64  `json:"good"`
	Bad      uint64  `json:"bad"`
	BurnRate float64 `json:"burnRate"` // 1 uses up the error budget exactly
}

// Point is the burn rate over one interval of pointLength.
type Point struct {
	At       time.Time `json:"at"`
	BurnRate float64   `json:"burnRate"`
}

// mergedSeries sums the series of one team and profile over all snapshots.
type mergedSeries struct {
	objective Objective
	takenAt   time.Time
	buckets   map[int64]BucketCount
	ratios    *hdrhistogram.Histogram
}

// Merge returns the report of several snapshots.
func Merge(now time.Time, snapshots []Snapshot, missing []MissingVM) (report Report, err error) {
	defer func() { err = errors.Wrap(err, "merging burn snapshots") }()
	report = Report{TakenAt: now, Included: []string{}, Missing: missing, Rows: []Row{}}
	all := make(map[seriesKey]*mergedSeries)
	for _, s := range snapshots {
		report.Included = append(report.Included, s.Member.String())
		report.Dropped += s.Dropped
		if err := mergeSnapshot(all, s); err != nil {
			return Report{}, errors.Wrapf(err, "of %s", s.Member)
		}
	}
	slices.Sort(report.Included)
	for key, m := range all {
		report.Rows = append(report.Rows, m.row(now, key))
	}
	slices.SortFunc(report.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Profile, b.Profile), cmp.Compare(a.Team, b.Team))
	})
	return report, nil
}

func mergeSnapshot(all map[seriesKey]*mergedSeries, s Snapshot) error {
	for _, entry := range s.Series {
		key := seriesKey{entry.Team, entry.Profile}
		m, ok := all[key]
		if !ok {
			m = &mergedSeries{buckets: make(map[int64]BucketCount), ratios: newRatios()}
			all[key] = m
		}
		if err := m.add(s.TakenAt, entry); err != nil {
			return err
		}
	}
	return nil
}

// add adds a series of a snapshot. The objective of the latest snapshot applies.
func (m *mergedSeries) add(takenAt time.Time, entry SeriesSnapshot) error {
	if !takenAt.Before(m.takenAt) {
		m.takenAt, m.objective = takenAt, entry.Objective
	}
	for _, b := range entry.Buckets {
		sum := m.buckets[b.Number]
		m.buckets[b.Number] = BucketCount{Number: b.Number, Good: sum.Good + b.Good, Bad: sum.Bad + b.Bad}
	}
	ratios, err := hdrhistogram.Decode(entry.Ratios)
	if err != nil {
		return err
	}
	m.ratios.Merge(ratios)
	return nil
}

func (m *mergedSeries) row(now time.Time, key seriesKey) Row {
	row := Row{
		Team:      key.team,
		Profile:   key.profile,
		Objective: m.objective,
		P50:       float64(m.ratios.ValueAtPercentile(50)) / ratioScale,
		P99:       float64(m.ratios.ValueAtPercentile(99)) / ratioScale,
		Points:    m.points(now),
	}
	for _, window := range Windows {
		row.Windows = append(row.Windows, m.windowBurn(now, window))
	}
	row.BudgetLeft = 1 - row.Windows[len(row.Windows)-1].BurnRate
	return row
}

func (m *mergedSeries) windowBurn(now time.Time, window time.Duration) WindowBurn {
	w := WindowBurn{Seconds: int64(window / time.Second)}
	oldest := bucketNumber(now) - int64(window/bucketLength)
	for number, b := range m.buckets {
		if number > oldest {
			w.Good += b.Good
			w.Bad += b.Bad
		}
	}
	w.BurnRate = m.objective.burnRate(w.Good, w.Bad)
	return w
}

// burnRate returns the share of bad requests divided by the share that the
// objective allows; 0 without requests.
func (o Objective) burnRate(good, bad uint64) float64 {
	if good+bad == 0 || o.Target >= 1 {
		return 0
	}
	return float64(bad) / float64(good+bad) / (1 - o.Target)
}

// points returns the burn rate of each pointLength in which a job ended.
func (m *mergedSeries) points(now time.Time) []Point {
	oldest := bucketNumber(now) - bucketCount
	sums := make(map[int64]BucketCount)
	for number, b := range m.buckets {
		if number > oldest {
			sum := sums[number/bucketsPerPoint]
			sums[number/bucketsPerPoint] = BucketCount{Good: sum.Good + b.Good, Bad: sum.Bad + b.Bad}
		}
	}
	points := []Point{}
	for number, b := range sums {
		at := time.Unix(number*int64(pointLength/time.Second), 0).UTC()
		points = append(points, Point{At: at, BurnRate: m.objective.burnRate(b.Good, b.Bad)})
	}
	slices.SortFunc(points, func(a, b Point) int { return a.At.Compare(b.At) })
	return points
}
