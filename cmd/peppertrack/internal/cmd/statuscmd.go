package cmd

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/operatorserver"
)

func newStatusCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show what is in force on each entry VM, and which VMs it can't reach",
		Long: `Show for each entry VM the version of the profiles in force, how long ago the
platform's store confirmed it, whether the VM watches the store for its failure
domain, and which VMs it can't reach.`,
		Args: usageArgs(cobra.NoArgs),
	}
	o := addOperatorFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		statuses, err := o.operatorClient().Status(cmd.Context())
		if err != nil {
			return operatorError(err)
		}
		return o.print(cmd.OutOrStdout(), statuses, func(w io.Writer) error { return printStatuses(w, statuses) })
	}
	return cmd
}

func printStatuses(w io.Writer, statuses []operatorserver.VMStatus) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "VM\tFAILURE DOMAIN\tVERSION\tCHAIN\tAGE\tWATCHES\tCUT OFF FROM")
	newest := identifier.ProfileVersion(0)
	for _, s := range statuses {
		newest = max(newest, s.Profiles.Version)
	}
	for _, s := range statuses {
		fmt.Fprintln(t, statusLine(s, newest))
	}
	return t.Flush()
}

func statusLine(s operatorserver.VMStatus, newest identifier.ProfileVersion) string {
	if !s.Reachable {
		return fmt.Sprintf("%s\t%s\tunreachable: %s\t\t\t\t", s.VM, s.FailureDomain, s.Detail)
	}
	version := fmt.Sprint(s.Profiles.Version)
	if s.Profiles.Version < newest {
		version += " (behind)"
	}
	age := "never confirmed"
	if s.Profiles.Verified {
		age = (time.Duration(s.Profiles.AgeMillis) * time.Millisecond).String()
	}
	watches := "no"
	if s.Profiles.Watching {
		watches = "yes"
	}
	return fmt.Sprintf("%s\t%s\t%s\t%v\t%s\t%s\t%s", s.VM, s.FailureDomain, version, s.Profiles.Chain, age, watches, joinVMs(s.CutOff))
}

func joinVMs(vms []identifier.VMID) string {
	names := make([]string, len(vms))
	for i, vm := range vms {
		names[i] = string(vm)
	}
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, " ")
}
