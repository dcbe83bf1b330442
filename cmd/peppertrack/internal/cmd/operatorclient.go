package cmd

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/operatorserver"
	"github.com/peppertrack/peppertrack/internal/profilekeeper"
)

const operatorTimeout = 30 * time.Second // of one call of the operators' API

// operatorClient returns the client of the operators' API.
func (o *clientOptions) operatorClient() *operatorserver.Client {
	return &operatorserver.Client{Server: o.Server, Token: o.Token, HTTP: &http.Client{Timeout: operatorTimeout}}
}

// operatorError gives an error of the operators' API its exit code.
func operatorError(err error) error {
	var refused *operatorserver.RefusedError
	var unreachable *operatorserver.UnreachableError
	switch {
	case errors.As(err, &unreachable):
		return withExitCode(exitRefused, err)
	case !errors.As(err, &refused):
		return err
	}
	switch refused.Cause {
	case operatorserver.Conflict, operatorserver.Exists, operatorserver.Retired, operatorserver.ReusedID:
		return withExitCode(exitConflict, refused)
	case operatorserver.Unauthenticated, operatorserver.Forbidden, operatorserver.Full,
		operatorserver.NotMade, operatorserver.OutcomeUnknown:
		return withExitCode(exitRefused, refused)
	}
	return refused
}

// changeFlags are the flags of commands that change something.
type changeFlags struct {
	reason   string
	changeID string
}

func addChangeFlags(cmd *cobra.Command) *changeFlags {
	f := &changeFlags{}
	cmd.Flags().StringVar(&f.reason, "reason", "", "why, for the history (required)")
	cmd.Flags().StringVar(&f.changeID, "change-id", "", "id of the change; repeat it to settle an attempt without an answer (default: a new one)")
	return f
}

func printAccepted(w io.Writer, a profilekeeper.Accepted) error {
	repeated := ""
	if a.Repeated {
		repeated = ", by an earlier attempt"
	}
	_, err := fmt.Fprintf(w, "accepted as version %d (change %s%s)\n", a.Last, a.ID, repeated)
	return err
}

// change makes operations and prints what came of them.
func (f *changeFlags) change(cmd *cobra.Command, o *clientOptions, operations ...profilekeeper.Operation) error {
	accepted, err := f.make(cmd, o, operations)
	if err != nil {
		return err
	}
	return o.print(cmd.OutOrStdout(), accepted, func(w io.Writer) error { return printAccepted(w, accepted) })
}

// make makes operations under the given change id or a new one.
func (f *changeFlags) make(cmd *cobra.Command, o *clientOptions, operations []profilekeeper.Operation) (accepted profilekeeper.Accepted, err error) {
	if f.reason == "" {
		return accepted, usageErrorf("--reason is missing")
	}
	id := identifier.ChangeID(f.changeID)
	if id == "" {
		id = identifier.ChangeID(uuid.NewString())
	}
	accepted, err = o.operatorClient().Change(cmd.Context(), id, f.reason, operations)
	if err != nil {
		reportRefusal(cmd.ErrOrStderr(), id, operations, err)
		return accepted, operatorError(err)
	}
	return accepted, nil
}

// reportRefusal tells what stands against a change, and how to settle one
// without an answer.
func reportRefusal(w io.Writer, id identifier.ChangeID, operations []profilekeeper.Operation, err error) {
	var unreachable *operatorserver.UnreachableError
	var refused *operatorserver.RefusedError
	if !errors.As(err, &refused) && !errors.As(err, &unreachable) {
		return
	}
	if refused == nil || refused.Cause == operatorserver.OutcomeUnknown {
		fmt.Fprintf(w, "The change may have been made. Repeat the command with --change-id %s%s to settle it.\n", id, baseFlag(operations))
		return
	}
	for _, c := range refused.Changes {
		fmt.Fprintf(w, "version %d: %s by %s at %s: %s\n", c.Version, c.Kind, c.Author, c.At.Format(time.RFC3339), c.Reason)
	}
}

// baseFlag returns the flag that makes a repeated command ask for the same
// change of one profile.
func baseFlag(operations []profilekeeper.Operation) string {
	if len(operations) != 1 {
		return ""
	}
	switch o := operations[0].(type) {
	case profilekeeper.ChangeProfile:
		return fmt.Sprintf(" --base %d", o.Base)
	case profilekeeper.RetireProfile:
		return fmt.Sprintf(" --base %d", o.Base)
	}
	return ""
}
