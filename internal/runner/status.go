package runner

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/burnreporter"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/operatorserver"
	"github.com/peppertrack/peppertrack/internal/peerinquirer"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// inquiryTimeout bounds the wait for the reports of peers.
const inquiryTimeout = time.Second

// statusSource reports the status of every known entry VM. It implements
// operatorserver.StatusSource.
type statusSource struct{ runner *Runner }

var _ operatorserver.StatusSource = statusSource{}

// Status implements operatorserver.StatusSource.
func (s statusSource) Status(ctx context.Context) ([]operatorserver.VMStatus, error) {
	r := s.runner
	statuses := []operatorserver.VMStatus{r.ownStatus()}
	for _, answer := range r.inquire(ctx, peermessenger.StatusReport) {
		statuses = append(statuses, statusOf(answer))
	}
	for _, p := range r.links.recentlyUnlinked() {
		statuses = append(statuses, operatorserver.VMStatus{
			VM:            p.Member.VM,
			Incarnation:   p.Member.Incarnation,
			FailureDomain: p.Domain,
			Detail:        "no link to it stands",
		})
	}
	slices.SortFunc(statuses, func(a, b operatorserver.VMStatus) int {
		return strings.Compare(string(a.VM), string(b.VM))
	})
	return statuses, nil
}

// inquire asks all linked peers for a report and returns an answer for each.
func (r *Runner) inquire(ctx context.Context, kind peermessenger.ReportKind) []peerinquirer.Answer {
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	defer cancel()
	var members []identifier.Member
	for _, p := range r.links.linked() {
		members = append(members, p.Member)
	}
	return r.inquirer.Ask(ctx, members, kind)
}

func statusOf(answer peerinquirer.Answer) operatorserver.VMStatus {
	status := operatorserver.VMStatus{VM: answer.Member.VM, Incarnation: answer.Member.Incarnation}
	if answer.Err != nil {
		status.Detail = answer.Err.Error()
		return status
	}
	if err := json.Unmarshal(answer.Data, &status); err != nil {
		status.Detail = err.Error()
		return status
	}
	status.Reachable = true
	return status
}

// ownStatus returns the status of this entry VM.
func (r *Runner) ownStatus() operatorserver.VMStatus {
	status := operatorserver.VMStatus{
		VM:            r.self.VM,
		Incarnation:   r.self.Incarnation,
		FailureDomain: r.opts.Settings.FailureDomain,
		Reachable:     true,
		Profiles:      r.follower.Status(),
	}
	for _, p := range r.links.recentlyUnlinked() {
		status.CutOff = append(status.CutOff, p.Member.VM)
	}
	return status
}

// ownReport returns the encoded report of a kind that a peer has asked for.
func (r *Runner) ownReport(kind peermessenger.ReportKind) ([]byte, error) {
	switch kind {
	case peermessenger.StatusReport:
		return json.Marshal(r.ownStatus())
	case peermessenger.BurnReport:
		snapshot, err := r.burn.Snapshot(time.Now(), r.self)
		if err != nil {
			return nil, err
		}
		return burnreporter.Encode(snapshot)
	default:
		return nil, errors.Newf("no report of kind %d", kind)
	}
}
