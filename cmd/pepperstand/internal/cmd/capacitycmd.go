package cmd

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/peppertrack/peppertrack/internal/capacityplanner"
)

// capacityFlags holds the paths of the capacity page and of its inputs.
type capacityFlags struct {
	page    string
	size    string
	figures string
	check   bool
}

func newCapacityCmd() *cobra.Command {
	var f capacityFlags
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Derive the tables of docs/CAPACITY.md from the measured figures",
		Long: `capacity reads the output of Go benchmarks and the size to design for, computes
what each role needs, and writes the derived tables of the page. With --check it
changes nothing, and fails if the page is out of date.

docs/capacity/measure.sh writes the file of figures.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runCapacity(cmd, f) },
	}
	cmd.Flags().StringVar(&f.page, "page", "docs/CAPACITY.md", "page to update")
	cmd.Flags().StringVar(&f.size, "size", "docs/capacity/size.yaml", "size to design for")
	cmd.Flags().StringVar(&f.figures, "figures", "docs/capacity/benchmarks.txt", "output of the benchmarks")
	cmd.Flags().BoolVar(&f.check, "check", false, "fail when the page is out of date")
	return cmd
}

func runCapacity(cmd *cobra.Command, f capacityFlags) (err error) {
	defer func() { err = errors.Wrap(err, "deriving the capacity tables") }()
	page, err := os.ReadFile(f.page)
	if err != nil {
		return err
	}
	updated, err := derivePage(string(page), f)
	if err != nil {
		return err
	}
	switch {
	case updated == string(page):
		fmt.Fprintf(cmd.OutOrStdout(), "%s is up to date\n", f.page)
		return nil
	case f.check:
		return errors.Newf("%s is out of date; run 'pepperstand capacity'", f.page)
	default:
		return os.WriteFile(f.page, []byte(updated), 0o644)
	}
}

func derivePage(page string, f capacityFlags) (updated string, err error) {
	sizeFile, err := os.ReadFile(f.size)
	if err != nil {
		return "", err
	}
	size, err := capacityplanner.ParseSize(sizeFile)
	if err != nil {
		return "", err
	}
	output, err := os.ReadFile(f.figures)
	if err != nil {
		return "", err
	}
	figures, err := capacityplanner.ParseFigures(output)
	if err != nil {
		return "", err
	}
	return capacityplanner.UpdatePage(page, size, figures)
}
