package cmd

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/operatorserver"
	"github.com/peppertrack/peppertrack/internal/profilekeeper"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

const defaultHistory = 20 // changes

func newProfileCmd() *cobra.Command {
	cmd := newGroupCmd("profile", "Create, change, retire and show profiles")
	o := addOperatorFlags(cmd)
	cmd.AddCommand(
		newProfileCreateCmd(o), newProfileChangeCmd(o), newProfileRetireCmd(o),
		newProfileListCmd(o), newProfileShowCmd(o), newProfileHistoryCmd(o),
	)
	return cmd
}

func newProfileCreateCmd(o *clientOptions) *cobra.Command {
	var revive bool
	cmd := &cobra.Command{
		Use:   "create FILE",
		Short: "Create the profile that a file declares",
		Args:  usageArgs(cobra.ExactArgs(1)),
	}
	f := addChangeFlags(cmd)
	cmd.Flags().BoolVar(&revive, "revive", false, "reuse the name of a retired profile")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		p, err := readProfile(cmd, args[0])
		if err != nil {
			return err
		}
		return f.change(cmd, o, profilekeeper.CreateProfile{Profile: p, Revive: revive})
	}
	return cmd
}

func newProfileChangeCmd(o *clientOptions) *cobra.Command {
	var base uint64
	cmd := &cobra.Command{
		Use:   "change FILE",
		Short: "Change a profile to what a file declares",
		Long: `Change a profile to what a file declares.

The change is made only if the profile is still at the version that it was made
for: --base, or else the version in force when the command starts.`,
		Args: usageArgs(cobra.ExactArgs(1)),
	}
	f := addChangeFlags(cmd)
	addBaseFlag(cmd, &base)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		p, err := readProfile(cmd, args[0])
		if err != nil {
			return err
		}
		version, err := baseVersion(cmd, o, p.Name, base)
		if err != nil {
			return err
		}
		return f.change(cmd, o, profilekeeper.ChangeProfile{Profile: p, Base: version})
	}
	return cmd
}

func newProfileRetireCmd(o *clientOptions) *cobra.Command {
	var base uint64
	cmd := &cobra.Command{
		Use:   "retire NAME",
		Short: "Retire a profile: running jobs end, new ones are refused",
		Args:  usageArgs(cobra.ExactArgs(1)),
	}
	f := addChangeFlags(cmd)
	addBaseFlag(cmd, &base)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		name := identifier.ProfileName(args[0])
		version, err := baseVersion(cmd, o, name, base)
		if err != nil {
			return err
		}
		return f.change(cmd, o, profilekeeper.RetireProfile{Name: name, Base: version})
	}
	return cmd
}

func addBaseFlag(cmd *cobra.Command, base *uint64) {
	cmd.Flags().Uint64Var(base, "base", 0, "version of the profile that the change was made for (default: the one in force)")
}

// baseVersion returns base, or the version of the profile in force if base is 0.
func baseVersion(cmd *cobra.Command, o *clientOptions, name identifier.ProfileName, base uint64) (identifier.ProfileVersion, error) {
	if base != 0 {
		return identifier.ProfileVersion(base), nil
	}
	detail, err := o.operatorClient().Profile(cmd.Context(), name)
	return detail.Entry.Version, operatorError(err)
}

func newProfileListCmd(o *clientOptions) *cobra.Command {
	var retired bool
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List the profiles in force",
		Args:  usageArgs(cobra.NoArgs),
	}
	cmd.Flags().BoolVar(&retired, "retired", false, "list retired profiles too")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		list, err := o.operatorClient().Profiles(cmd.Context())
		if err != nil {
			return operatorError(err)
		}
		return o.print(cmd.OutOrStdout(), list, func(w io.Writer) error { return printProfiles(w, list, retired) })
	}
	return cmd
}

func printProfiles(w io.Writer, list operatorserver.ProfileList, retired bool) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "NAME\tVERSION\tDEADLINE\tPRIORITY\tPLACEMENT\tSTATE")
	for _, e := range list.Profiles {
		state := "in force"
		if e.Profile.Retired {
			state = "retired"
		}
		if retired || !e.Profile.Retired {
			fmt.Fprintf(t, "%s\t%d\t%v\t%d\t%s\t%s\n",
				e.Profile.Name, e.Version, e.Profile.Deadline, e.Profile.Priority, e.Profile.Placement.Policy, state)
		}
	}
	return t.Flush()
}

func newProfileShowCmd(o *clientOptions) *cobra.Command {
	return &cobra.Command{
		Use:   "show NAME",
		Short: "Show a profile as YAML",
		Args:  usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			detail, err := o.operatorClient().Profile(cmd.Context(), identifier.ProfileName(args[0]))
			if err != nil {
				return operatorError(err)
			}
			return o.print(cmd.OutOrStdout(), detail, func(w io.Writer) error {
				data, err := profileparser.Encode(detail.Entry.Profile)
				if err != nil {
					return err
				}
				_, err = fmt.Fprintf(w, "# version %d\n%s", detail.Entry.Version, data)
				return err
			})
		},
	}
}

func newProfileHistoryCmd(o *clientOptions) *cobra.Command {
	var limit int
	cmd := &cobra.Command{
		Use:   "history [NAME]",
		Short: "Show who changed what, when and why, newest first",
		Args:  usageArgs(cobra.MaximumNArgs(1)),
	}
	cmd.Flags().IntVar(&limit, "limit", defaultHistory, fmt.Sprintf("number of changes, up to %d", profilekeeper.MaxHistory))
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		changes, err := readHistory(cmd, o, args, limit)
		if err != nil {
			return operatorError(err)
		}
		return o.print(cmd.OutOrStdout(), changes, func(w io.Writer) error { return printChanges(w, changes) })
	}
	return cmd
}

func readHistory(cmd *cobra.Command, o *clientOptions, args []string, limit int) ([]profilekeeper.Change, error) {
	if len(args) == 0 {
		h, err := o.operatorClient().History(cmd.Context(), limit)
		return h.Changes, err
	}
	detail, err := o.operatorClient().Profile(cmd.Context(), identifier.ProfileName(args[0]))
	return detail.Changes[:min(max(limit, 0), len(detail.Changes))], err
}

func printChanges(w io.Writer, changes []profilekeeper.Change) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "VERSION\tAT\tAUTHOR\tCHANGE\tOF\tREASON\tCHANGE ID")
	for _, c := range changes {
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\t%s\t%s\n", c.Version, c.At.Format(time.RFC3339), c.Author, c.Kind, c.Subject(), c.Reason, c.ID)
	}
	return t.Flush()
}

// readProfile reads a file that declares one profile; - is the standard input.
func readProfile(cmd *cobra.Command, file string) (p profileparser.Profile, err error) {
	data, err := readInput(cmd, file)
	if err != nil {
		return p, err
	}
	profiles, err := profileparser.Parse(file, data)
	if err != nil {
		return p, err
	}
	if len(profiles) != 1 {
		return p, errors.Newf("%s declares %d profiles, want 1; see peppertrack apply", file, len(profiles))
	}
	return profiles[0], nil
}

func readInput(cmd *cobra.Command, file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(io.LimitReader(cmd.InOrStdin(), profileparser.MaxFileSize+1))
	}
	return os.ReadFile(file)
}
