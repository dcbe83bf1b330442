package cmd

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/profilekeeper"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

const maxApplyFiles = 1_000

func newApplyCmd() *cobra.Command {
	var dryRun, prune bool
	cmd := &cobra.Command{
		Use:   "apply DIR",
		Short: "Make the profiles in force agree with a directory of declarations",
		Long: `Make the profiles in force agree with the *.yaml files of a directory.

All differences are applied as one change, or none is. A profile that is declared
with "retired: true" is retired. Profiles that no file declares stay as they are,
unless --prune retires them.`,
		Args: usageArgs(cobra.ExactArgs(1)),
	}
	o := addOperatorFlags(cmd)
	f := addChangeFlags(cmd)
	cmd.Flags().BoolVar(&dryRun, "dry-run", false, "show the differences and change nothing")
	cmd.Flags().BoolVar(&prune, "prune", false, "retire the profiles that no file declares")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		declared, err := readDeclarations(args[0])
		if err != nil {
			return err
		}
		list, err := o.operatorClient().Profiles(cmd.Context())
		if err != nil {
			return operatorError(err)
		}
		book := profilekeeper.Book{Version: list.Version, Profiles: list.Profiles}
		operations := book.Plan(declared, prune)
		if dryRun || len(operations) == 0 {
			steps := planSteps(book, operations)
			return o.print(cmd.OutOrStdout(), steps, func(w io.Writer) error { return printSteps(w, steps) })
		}
		if o.Output == outputText {
			if err := printSteps(cmd.OutOrStdout(), planSteps(book, operations)); err != nil {
				return err
			}
		}
		return f.change(cmd, o, operations...)
	}
	return cmd
}

// readDeclarations reads the profiles of all *.yaml files of a directory. The
// error for invalid files lists the invalid fields of all of them.
func readDeclarations(dir string) ([]profileparser.Profile, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil {
		return nil, err
	}
	if len(files) == 0 || len(files) > maxApplyFiles {
		return nil, errors.Newf("directory %s has %d *.yaml files, want 1 to %d", dir, len(files), maxApplyFiles)
	}
	var declared []profileparser.Profile
	var fieldErrors []profileparser.FieldError
	declaredIn := make(map[identifier.ProfileName]string)
	for _, file := range files {
		profiles, err := readDeclaration(file)
		var invalid *profileparser.InvalidError
		if errors.As(err, &invalid) {
			fieldErrors = append(fieldErrors, invalid.FieldErrors...)
		} else if err != nil {
			return nil, err
		}
		for _, p := range profiles {
			if first, ok := declaredIn[p.Name]; ok {
				fieldErrors = append(fieldErrors, profileparser.FieldError{File: file, Field: "name", Problem: fmt.Sprintf("%s stands already in %s", p.Name, first)})
			}
			declaredIn[p.Name] = file
		}
		declared = append(declared, profiles...)
	}
	if len(fieldErrors) > 0 {
		return nil, &profileparser.InvalidError{FieldErrors: fieldErrors}
	}
	return declared, nil
}

func readDeclaration(file string) ([]profileparser.Profile, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return profileparser.Parse(file, data)
}

// planStep describes one operation on a profile, as the command prints it.
type planStep struct {
	Action      string                     `json:"action"` // create, change or retire
	Profile     identifier.ProfileName     `json:"profile"`
	Base        identifier.ProfileVersion  `json:"base,omitempty"`
	Differences []profileparser.Difference `json:"differences"`
}

func planSteps(b profilekeeper.Book, operations []profilekeeper.Operation) []planStep {
	steps := []planStep{}
	for _, operation := range operations {
		switch o := operation.(type) {
		case profilekeeper.CreateProfile:
			steps = append(steps, planStep{"create", o.Profile.Name, 0, profileparser.Differences(profileparser.Profile{}, o.Profile)})
		case profilekeeper.ChangeProfile:
			e, _ := b.Profile(o.Profile.Name)
			steps = append(steps, planStep{"change", o.Profile.Name, o.Base, profileparser.Differences(e.Profile, o.Profile)})
		case profilekeeper.RetireProfile:
			steps = append(steps, planStep{"retire", o.Name, o.Base, nil})
		}
	}
	return steps
}

// printSteps writes the steps as text: + for a profile to be created, ~ for one
// to be changed, - for one to be retired.
func printSteps(w io.Writer, steps []planStep) error {
	if len(steps) == 0 {
		_, err := fmt.Fprintln(w, "no differences")
		return err
	}
	signs := map[string]string{"create": "+", "change": "~", "retire": "-"}
	var b strings.Builder
	for _, s := range steps {
		fmt.Fprintf(&b, "%s %s %s", signs[s.Action], s.Action, s.Profile)
		if s.Base > 0 {
			fmt.Fprintf(&b, " (at version %d)", s.Base)
		}
		b.WriteString("\n")
		for _, d := range slices.DeleteFunc(slices.Clone(s.Differences), func(d profileparser.Difference) bool { return d.Field == "name" }) {
			printDifference(&b, s.Action, d)
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func printDifference(b *strings.Builder, action string, d profileparser.Difference) {
	if action == "create" {
		fmt.Fprintf(b, "    %s: %s\n", d.Field, d.New)
		return
	}
	fmt.Fprintf(b, "    %s: %s -> %s\n", d.Field, orNone(d.Old), orNone(d.New))
}

func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}
