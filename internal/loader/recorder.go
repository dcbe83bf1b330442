package loader

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/peppertrack/peppertrack/internal/auditor"
	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Ranges and precision of the histograms: ratios are kept in thousandths, times
// in microseconds.
const (
	ratioUnit         = 1000
	maxRatio          = 100_000 * ratioUnit
	maxResponse       = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// outcome is how one planned job ended for its caller.
type outcome struct {
	job             PlannedJob
	ending          declarer.Ending // nil if there is no answer
	response        time.Duration   // from the planned arrival to the answer
	ideal           time.Duration
	inTime          bool
	verified        bool // complete, with every output checked
	cancelConfirmed bool // the caller cancelled it and the answer says so
}

// recorder collects outcomes and observations. It is safe for concurrent use.
type recorder struct {
	mu           sync.Mutex
	all          *jobGroup
	teams        []*jobGroup
	seconds      []*jobGroup
	endings      map[string]int
	causes       map[string]int
	observations []auditor.Observation
	tasks        int
}

// jobGroup collects the measurements of a group of jobs: all, those of a team, or
// those that arrive in one second.
type jobGroup struct {
	ratio   *hdrhistogram.Histogram
	added   *hdrhistogram.Histogram
	offered int
	good    int
}

func newJobGroup() *jobGroup {
	return &jobGroup{
		ratio: hdrhistogram.New(1, maxRatio, significantDigits),
		added: hdrhistogram.New(1, maxResponse, significantDigits),
	}
}

func newRecorder(w Workload) *recorder {
	r := &recorder{
		all:     newJobGroup(),
		endings: make(map[string]int),
		causes:  make(map[string]int),
	}
	for range w.Teams {
		r.teams = append(r.teams, newJobGroup())
	}
	for range int(w.Duration/time.Second) + 1 {
		r.seconds = append(r.seconds, newJobGroup())
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
	for _, g := range []*jobGroup{r.all, r.teams[o.job.TeamIndex], r.seconds[second]} {
		g.record(o)
	}
}

func (g *jobGroup) record(o outcome) {
	g.offered++
	if o.verified && o.inTime || o.cancelConfirmed {
		g.good++
	}
	if !o.verified {
		return
	}
	ratio := float64(o.response) / float64(o.ideal) * ratioUnit
	_ = g.ratio.RecordValue(min(max(int64(ratio), 1), maxRatio))
	added := (o.response - o.ideal).Microseconds()
	_ = g.added.RecordValue(min(max(added, 1), maxResponse))
}

func (r *recorder) addObservation(o auditor.Observation) {
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
