package loader

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/peppertrack/peppertrack/internal/auditor"
	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Geometry of the histograms: ratios are kept in thousandths, times in
// microseconds.
const (
	ratioUnit       = 1000
	greatestRatio   = 100_000 * ratioUnit
	longestResponse = int64(time.Hour / time.Microsecond)
	significant     = 3
)

// outcome is how one planned job ended for its caller.
type outcome struct {
	job      PlannedJob
	ending   declarer.Ending // nil: no answer
	response time.Duration   // from the planned arrival to the answer
	ideal    time.Duration
	inTime   bool
	whole    bool // complete, with every output checked
	asAsked  bool // cancelled by the caller and answered so
}

// recorder collects outcomes and observations. It is safe for concurrent use.
type recorder struct {
	mu           sync.Mutex
	all          *series
	teams        []*series
	seconds      []*series
	endings      map[string]int
	causes       map[string]int
	observations []auditor.Observation
	tasks        int
}

// series is the figures of a group of jobs.
type series struct {
	ratio   *hdrhistogram.Histogram
	added   *hdrhistogram.Histogram
	offered int
	good    int
}

func newSeries() *series {
	return &series{
		ratio: hdrhistogram.New(1, greatestRatio, significant),
		added: hdrhistogram.New(1, longestResponse, significant),
	}
}

func newRecorder(w Workload) *recorder {
	r := &recorder{
		all:     newSeries(),
		endings: make(map[string]int),
		causes:  make(map[string]int),
	}
	for range w.Teams {
		r.teams = append(r.teams, newSeries())
	}
	for range int(w.Duration/time.Second) + 1 {
		r.seconds = append(r.seconds, newSeries())
	}
	return r
}

func (r *recorder) record(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tasks += len(o.job.RunTimes)
	name, cause := endingName(o.ending)
	r.endings[name]++
	if cause != "" {
		r.causes[name+"."+cause]++
	}
	second := min(int(o.job.At/time.Second), len(r.seconds)-1)
	for _, s := range []*series{r.all, r.teams[o.job.Team], r.seconds[second]} {
		s.record(o)
	}
}

func (s *series) record(o outcome) {
	s.offered++
	if o.whole && o.inTime || o.asAsked {
		s.good++
	}
	if !o.whole {
		return
	}
	ratio := float64(o.response) / float64(o.ideal) * ratioUnit
	_ = s.ratio.RecordValue(min(max(int64(ratio), 1), greatestRatio))
	added := (o.response - o.ideal).Microseconds()
	_ = s.added.RecordValue(min(max(added, 1), longestResponse))
}

func (r *recorder) observe(o auditor.Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observations = append(r.observations, o)
}

// Names of the endings in reports.
const (
	complete     = "complete"
	failed       = "failed"
	refused      = "refused"
	unverifiable = "unverifiable"
	unanswered   = "unanswered"
)

func endingName(ending declarer.Ending) (name, cause string) {
	switch e := ending.(type) {
	case declarer.Complete:
		return complete, ""
	case declarer.Failed:
		return failed, string(e.Cause)
	case declarer.Refused:
		return refused, string(e.Cause)
	case declarer.Unverifiable:
		return unverifiable, string(e.Cause)
	default:
		return unanswered, ""
	}
}

// teamFigures returns the figures of each team.
func (r *recorder) teamFigures(teams []Team) map[identifier.Team]Figures {
	figures := make(map[identifier.Team]Figures, len(teams))
	for i, team := range teams {
		figures[team.Name] = r.teams[i].figures()
	}
	return figures
}
