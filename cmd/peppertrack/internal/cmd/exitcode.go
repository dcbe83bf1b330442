package cmd

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// exitCode is the exit code of the process.
type exitCode int

// The exit codes.
const (
	exitOK       exitCode = 0
	exitError    exitCode = 1 // the command failed
	exitUsage    exitCode = 2 // wrong flags or arguments
	exitConflict exitCode = 3 // conflict with another change
	exitRefused  exitCode = 4 // refused, or the server is unreachable

	exitUnverifiable exitCode = 5 // not known whether the job ran
)

// codedError is an error with the exit code that it ends the process with.
type codedError struct {
	code exitCode
	err  error
}

func (e *codedError) Error() string { return e.err.Error() }
func (e *codedError) Unwrap() error { return e.err }

// withExitCode gives an error its exit code. It returns nil for a nil error.
func withExitCode(code exitCode, err error) error {
	if err == nil {
		return nil
	}
	return &codedError{code: code, err: err}
}

// usageErrorf returns an error about wrong flags or arguments.
func usageErrorf(format string, args ...any) error {
	return withExitCode(exitUsage, errors.Newf(format, args...))
}

// exitCodeOf returns the exit code for the error of a command, which may be nil.
func exitCodeOf(err error) exitCode {
	if err == nil {
		return exitOK
	}
	if coded := (*codedError)(nil); errors.As(err, &coded) {
		return coded.code
	}
	return exitError
}

// usageArgs turns the errors of an argument check into usage errors.
func usageArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		err := check(cmd, args)
		if err == nil {
			return nil
		}
		return usageErrorf("%w; see %s --help", err, cmd.CommandPath())
	}
}

// newGroupCmd returns a command that has only subcommands and prints its help.
func newGroupCmd(use, short string, children ...*cobra.Command) *cobra.Command {
	group := &cobra.Command{
		Use:   use,
		Short: short,
		Args: usageArgs(func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("unknown command %q", args[0])
			}
			return nil
		}),
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	group.AddCommand(children...)
	return group
}
