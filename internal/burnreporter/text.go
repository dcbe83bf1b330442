package burnreporter

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// WriteText writes a report as a table.
func WriteText(w io.Writer, r Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "PROFILE\tTEAM\tTARGET\tWITHIN\tP50\tP99")
	for _, window := range Windows {
		fmt.Fprintf(t, "\tBURN %s", shortDuration(window))
	}
	fmt.Fprintf(t, "\tBUDGET LEFT OF %s\n", shortDuration(LongestWindow))
	for _, row := range r.Rows {
		writeRow(t, row)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return writeCoverage(w, r)
}

func writeRow(w io.Writer, row Row) {
	fmt.Fprintf(w, "%s\t%s\t%.2f%%\t%.2f\t%.2f\t%.2f", row.Profile, row.Team, 100*row.Objective.Target, row.Objective.ResponseOverIdeal, row.P50, row.P99)
	for _, burn := range row.Windows {
		fmt.Fprintf(w, "\t%.2f", burn.BurnRate)
	}
	fmt.Fprintf(w, "\t%.1f%%\n", 100*row.BudgetLeft)
}

// writeCoverage writes how many entry VMs are included and which are missing.
func writeCoverage(w io.Writer, r Report) error {
	_, err := fmt.Fprintf(w, "figures of %d entry VMs at %s\n", len(r.Included), r.TakenAt.UTC().Format(time.RFC3339))
	for _, m := range r.Missing {
		if _, err := fmt.Fprintf(w, "MISSING: %s: %s\n", m.VM, m.Reason); err != nil {
			return err
		}
	}
	if r.Dropped > 0 {
		fmt.Fprintf(w, "%d jobs were not recorded for want of room\n", r.Dropped)
	}
	return err
}

func shortDuration(d time.Duration) string {
	if d >= time.Hour {
		return fmt.Sprintf("%dh", d/time.Hour)
	}
	return fmt.Sprintf("%dm", d/time.Minute)
}
