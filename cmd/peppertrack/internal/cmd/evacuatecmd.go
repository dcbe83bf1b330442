package cmd

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/profilekeeper"
)

func newEvacuateCmd() *cobra.Command {
	var takeBack, dryRun bool
	cmd := &cobra.Command{
		Use:   "evacuate [DOMAIN]",
		Short: "Keep new tasks from the backend servers of a failure domain, or take that back",
		Long: `Keep new tasks from the backend servers of a failure domain until it is taken back
with --take-back. Tasks that run there end; queued ones start elsewhere, as far as the
other failure domains have room. Entry VMs there go on serving their callers.

Without DOMAIN, list the evacuated failure domains.`,
		Args: usageArgs(cobra.MaximumNArgs(1)),
	}
	o := addOperatorFlags(cmd)
	f := addChangeFlags(cmd)
	cmd.Flags().BoolVar(&takeBack, "take-back", false, "end the evacuation")
	cmd.Flags().BoolVar(&dryRun, "dry-run", false, "show what would change, and change nothing")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if len(args) == 0 {
			if takeBack || dryRun {
				return usageErrorf("--take-back and --dry-run need a DOMAIN")
			}
			return listEvacuations(cmd, o)
		}
		domain := identifier.FailureDomain(args[0])
		if dryRun {
			return planEvacuation(cmd, o, domain, takeBack)
		}
		if takeBack {
			return f.change(cmd, o, profilekeeper.TakeBackDomain{Domain: domain})
		}
		return f.change(cmd, o, profilekeeper.EvacuateDomain{Domain: domain})
	}
	return cmd
}

func listEvacuations(cmd *cobra.Command, o *clientOptions) error {
	evacuations, err := o.operatorClient().Evacuations(cmd.Context())
	if err != nil {
		return operatorError(err)
	}
	return o.print(cmd.OutOrStdout(), evacuations, func(w io.Writer) error {
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "FAILURE DOMAIN\tSINCE\tVERSION")
		for _, e := range evacuations {
			fmt.Fprintf(t, "%s\t%s\t%d\n", e.Domain, e.At.Format(time.RFC3339), e.Version)
		}
		return t.Flush()
	})
}

// evacuationPlan is what a command would change.
type evacuationPlan struct {
	Domain     identifier.FailureDomain `json:"domain"`
	Action     string                   `json:"action"`     // evacuate, takeBack or none
	EntryVMs   int                      `json:"entryVms"`   // in the failure domain, as far as the server knows
	LeftToWork int                      `json:"leftToWork"` // failure domains with entry VMs that are then not evacuated
}

// planEvacuation prints what a command would change.
func planEvacuation(cmd *cobra.Command, o *clientOptions, domain identifier.FailureDomain, takeBack bool) error {
	client := o.operatorClient()
	evacuations, err := client.Evacuations(cmd.Context())
	if err != nil {
		return operatorError(err)
	}
	statuses, err := client.Status(cmd.Context())
	if err != nil {
		return operatorError(err)
	}
	evacuated := make(map[identifier.FailureDomain]bool)
	for _, e := range evacuations {
		evacuated[e.Domain] = true
	}
	plan := evacuationPlan{Domain: domain, Action: "none"}
	switch {
	case takeBack && evacuated[domain]:
		plan.Action = "takeBack"
	case !takeBack && !evacuated[domain]:
		plan.Action = "evacuate"
	}
	evacuated[domain] = !takeBack
	var left []identifier.FailureDomain
	for _, s := range statuses {
		if s.FailureDomain == domain {
			plan.EntryVMs++
		}
		if !evacuated[s.FailureDomain] && !slices.Contains(left, s.FailureDomain) {
			left = append(left, s.FailureDomain)
		}
	}
	plan.LeftToWork = len(left)
	return o.print(cmd.OutOrStdout(), plan, func(w io.Writer) error { return printEvacuationPlan(w, plan) })
}

func printEvacuationPlan(w io.Writer, p evacuationPlan) error {
	switch p.Action {
	case "none":
		fmt.Fprintln(w, "no differences")
	case "takeBack":
		fmt.Fprintf(w, "- take back %s\n", p.Domain)
	default:
		fmt.Fprintf(w, "+ evacuate %s\n", p.Domain)
	}
	if p.EntryVMs == 0 {
		fmt.Fprintf(w, "warning: no entry VM is in failure domain %s\n", p.Domain)
	}
	if p.LeftToWork == 0 {
		fmt.Fprintln(w, "warning: no failure domain is left to work in; all jobs would be refused")
	}
	return nil
}
