package experimenter

import (
	"fmt"
	"io"
	"strings"
)

// WriteTable writes a Markdown table with one row per scenario and policy.
func WriteTable(w io.Writer, results []Result) (err error) {
	columns := []string{
		"scenario", "seed", "policy", "jobs", "complete", "failed", "refused", "unverifiable",
		"p50", "p99", "p99.9", "floor p99", "wasted", "goodput", "recovery", "violations", "targets missed",
	}
	lines := []string{
		"| " + strings.Join(columns, " | ") + " |",
		"|" + strings.Repeat(" --- |", len(columns)),
	}
	for _, result := range results {
		for _, run := range result.Runs {
			lines = append(lines, row(result, run))
		}
	}
	_, err = fmt.Fprintln(w, strings.Join(lines, "\n"))
	return err
}

func row(result Result, run Run) string {
	s := result.Scenario
	r := run.Report
	missed := strings.Join(run.MissedTargets, "; ")
	if missed == "" {
		missed = "none"
	}
	return fmt.Sprintf("| %s | %d | %s | %d | %d | %d | %d | %d | %.3f | %.3f | %.3f | %.3f | %.3f%% | %.2f%% | %s | %d | %s |",
		s.Name, r.Seed, run.Policy, r.Jobs,
		r.Endings["complete"], r.Endings["failed"], r.Endings["refused"], r.Endings["unverifiable"],
		r.All.P50, r.All.P99, r.All.P999, result.Floor.P99, r.Messages.WastedShare()*100, r.All.Goodput*100,
		run.Recovery, len(r.Violations), missed)
}
