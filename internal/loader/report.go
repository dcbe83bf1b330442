package loader

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/peppertrack/peppertrack/internal/auditor"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Report is the result of a run.
type Report struct {
	Seed       uint64                      `json:"seed"`
	Load       float64                     `json:"load"`
	Slots      identifier.Slots            `json:"slots"`
	Elapsed    time.Duration               `json:"elapsedNanos"`
	RoundTrip  time.Duration               `json:"roundTripNanos"`
	Jobs       int                         `json:"jobs"`
	Tasks      int                         `json:"tasks"`
	NotSent    int                         `json:"notSent"`
	Unfinished int                         `json:"leftOver"` // requests without an answer at the end
	Lateness   time.Duration               `json:"latenessNanos"`
	Endings    map[string]int              `json:"endings"`
	Causes     map[string]int              `json:"causes"`
	All        Figures                     `json:"all"`
	Curve      []Point                     `json:"curve"`
	Teams      map[identifier.Team]Figures `json:"teams"`
	Seconds    []Figures                   `json:"seconds"`
	Messages   Messages                    `json:"messages"`
	Cost       Cost                        `json:"cost"`
	Audited    bool                        `json:"audited"`
	Starts     int                         `json:"starts"`
	// ForeignStarts counts the starts of submissions that this run did not send.
	// They take slots from it.
	ForeignStarts int `json:"foreignStarts"`
	// StartEndings and StartRefusals count the starts that ended and the starts
	// that were refused on the backend servers, StillRunning the tasks that still
	// ran at the end.
	StartEndings  map[string]int64    `json:"startEndings"`
	StartRefusals map[string]int64    `json:"startRefusals"`
	StillRunning  uint64              `json:"stillRunning"`
	Violations    []auditor.Violation `json:"violations"`
	Unreachable   []string            `json:"unreachable"` // addresses whose counters could not be read
}

// Point is one point of the distribution of response times, as ratios to the
// ideal.
type Point struct {
	Percent float64 `json:"percent"`
	Ratio   float64 `json:"ratio"`
}

// curvePercents are the quantiles of the distribution in a report, in percent.
var curvePercents = []float64{1, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 100}

func (g *jobGroup) curve() []Point {
	points := make([]Point, len(curvePercents))
	for i, percent := range curvePercents {
		points[i] = Point{Percent: percent, Ratio: float64(g.ratio.ValueAtQuantile(percent)) / ratioUnit}
	}
	return points
}

// Figures summarize a group of jobs. P50 to Max are quantiles of the ratio of a
// job's response time to its ideal: the run time of its longest task and one
// network round trip.
type Figures struct {
	Offered int     `json:"offered"`
	Good    int     `json:"good"` // complete, checked and in time, or cancelled as asked
	Goodput float64 `json:"goodput"`
	P50     float64 `json:"p50"`
	P99     float64 `json:"p99"`
	P999    float64 `json:"p999"`
	Max     float64 `json:"max"`
	// AddedP50 and AddedP99 are quantiles of the response time beyond the ideal.
	AddedP50 time.Duration `json:"addedP50Nanos"`
	AddedP99 time.Duration `json:"addedP99Nanos"`
}

// Quantiles in Figures, in percent.
const (
	median     = 50
	percent99  = 99
	percent999 = 99.9
)

func (g *jobGroup) figures() Figures {
	ratio := func(q float64) float64 { return float64(g.ratio.ValueAtQuantile(q)) / ratioUnit }
	added := func(q float64) time.Duration { return time.Duration(g.added.ValueAtQuantile(q)) * time.Microsecond }
	f := Figures{
		Offered:  g.offered,
		Good:     g.good,
		P50:      ratio(median),
		P99:      ratio(percent99),
		P999:     ratio(percent999),
		Max:      float64(g.ratio.Max()) / ratioUnit,
		AddedP50: added(median),
		AddedP99: added(percent99),
	}
	if g.offered > 0 {
		f.Goodput = float64(g.good) / float64(g.offered)
	}
	return f
}

// WriteText writes the report as text for people.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "seed\t%d\n", r.Seed)
	fmt.Fprintf(t, "offered\t%d jobs, %d tasks, %.0f%% of %d slots\n", r.Jobs, r.Tasks, r.Load*100, r.Slots)
	fmt.Fprintf(t, "elapsed\t%v\n", r.Elapsed.Round(time.Millisecond))
	fmt.Fprintf(t, "round trip\t%v\n", r.RoundTrip.Round(time.Microsecond))
	writeCounts(t, "", r.Endings)
	writeCounts(t, "  ", r.Causes)
	fmt.Fprintf(t, "goodput\t%.2f%%\n", r.All.Goodput*100)
	fmt.Fprintf(t, "response over ideal\tp50 %.3f  p99 %.3f  p99.9 %.3f  max %.3f\n", r.All.P50, r.All.P99, r.All.P999, r.All.Max)
	fmt.Fprintf(t, "added time\tp50 %v  p99 %v\n", r.All.AddedP50, r.All.AddedP99)
	r.Messages.writeText(t, r.Tasks)
	r.Cost.writeText(t)
	fmt.Fprintf(t, "late arrivals of the load tool\tat most %v\n", r.Lateness.Round(time.Microsecond))
	fmt.Fprintf(t, "not sent\t%d\n", r.NotSent)
	fmt.Fprintf(t, "left over\t%d\n", r.Unfinished)
	for _, address := range r.Unreachable {
		fmt.Fprintf(t, "counters not read\t%s\n", address)
	}
	r.writeAudit(t)
	return t.Flush()
}

func (r Report) writeAudit(w io.Writer) {
	if !r.Audited {
		fmt.Fprintf(w, "audit\tnot run: no control address of the backend servers\n")
		return
	}
	fmt.Fprintf(w, "starts seen\t%d, %d still running, %d of other callers\n", r.Starts, r.StillRunning, r.ForeignStarts)
	writeCounts(w, "ended ", r.StartEndings)
	writeCounts(w, "refused ", r.StartRefusals)
	fmt.Fprintf(w, "violations\t%d\n", len(r.Violations))
	for _, violation := range r.Violations {
		fmt.Fprintf(w, "  %s\n", violation)
	}
}

func writeCounts[N int | int64](w io.Writer, prefix string, counts map[string]N) {
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "%s%s\t%d\n", prefix, name, counts[name])
	}
}

// Failed reports whether the run has a violation, a job that was not sent or got
// no answer, or an unfinished request.
func (r Report) Failed() bool {
	return len(r.Violations) > 0 || r.Unfinished > 0 || r.NotSent > 0 || r.Endings[unanswered] > 0
}
