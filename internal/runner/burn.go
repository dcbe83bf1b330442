package runner

import (
	"context"
	"time"

	"github.com/peppertrack/peppertrack/internal/burnreporter"
	"github.com/peppertrack/peppertrack/internal/dispatcher"
	"github.com/peppertrack/peppertrack/internal/operatorserver"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// recordEndedJob records an ended job for the burn report.
func (r *Runner) recordEndedJob(e dispatcher.JobEnded) {
	r.burn.Observe(time.Now(), burnreporter.Observation{
		Team:          e.Team,
		Profile:       e.Profile,
		Ending:        e.Ending,
		Response:      e.Response,
		IdealDuration: e.LongestRunTime,
		Objective: burnreporter.Objective{
			Target:            e.Objective.Target,
			ResponseOverIdeal: e.Objective.ResponseOverIdeal,
		},
	})
}

// burnSource merges the burn snapshots of all entry VMs. It implements
// operatorserver.BurnSource.
type burnSource struct{ runner *Runner }

var _ operatorserver.BurnSource = burnSource{}

// Burn implements operatorserver.BurnSource.
func (s burnSource) Burn(ctx context.Context) (burnreporter.Report, error) {
	r := s.runner
	now := time.Now()
	own, err := r.burn.Snapshot(now, r.self)
	if err != nil {
		return burnreporter.Report{}, err
	}
	snapshots := []burnreporter.Snapshot{own}
	var missing []burnreporter.MissingVM
	for _, answer := range r.inquire(ctx, peermessenger.BurnReport) {
		snapshot, err := decodeSnapshot(answer.Data, answer.Err)
		if err != nil {
			missing = append(missing, burnreporter.MissingVM{VM: answer.Member.VM, Reason: err.Error()})
			continue
		}
		snapshots = append(snapshots, snapshot)
	}
	for _, p := range r.links.recentlyUnlinked() {
		missing = append(missing, burnreporter.MissingVM{VM: p.Member.VM, Reason: "no link to it stands"})
	}
	return burnreporter.Merge(now, snapshots, missing)
}

func decodeSnapshot(data []byte, err error) (burnreporter.Snapshot, error) {
	if err != nil {
		return burnreporter.Snapshot{}, err
	}
	return burnreporter.Decode(data)
}
