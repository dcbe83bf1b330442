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

// operatorClient returns a client of the operators' API of the server in the
// options.
func (o *clientOptions) operatorClient() *operatorserver.Client {
	return &operatorserver.Client{Server: o.Server, Token: o.Token, HTTPClient: &http.Client{Timeout: operatorTimeout}}
}

// operatorError returns an error of the operators' API with its exit code.
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
	case operatorserver.CauseConflict, operatorserver.CauseExists, operatorserver.CauseRetired, operatorserver.CauseReusedID:
		return withExitCode(exitConflict, refused)
	case operatorserver.CauseUnauthenticated, operatorserver.CauseForbidden, operatorserver.CauseFull,
		operatorserver.CauseNotMade, operatorserver.CauseOutcomeUnknown:
		return withExitCode(exitRefused, refused)
	}
	return refused
}

// changeFlags are the flags of the commands that submit a change.
type changeFlags struct {
	reason   string
	changeID string
}

func addChangeFlags(cmd *cobra.Command) *changeFlags {
	f := &changeFlags{}
	cmd.Flags().StringVar(&f.reason, "reason", "", "reason for the change, kept in the history (required)")
	cmd.Flags().StringVar(&f.changeID, "change-id", "", "id of the change; give it again to learn the outcome of an attempt without an answer (default: a new one)")
	return f
}

func printAccepted(w io.Writer, a profilekeeper.Acceptance) error {
	repeated := ""
	if a.Repeated {
		repeated = ", by an earlier attempt"
	}
	_, err := fmt.Fprintf(w, "accepted as version %d (change %s%s)\n", a.Last, a.ID, repeated)
	return err
}

// change submits operations as one change and prints the accepted version.
func (f *changeFlags) change(cmd *cobra.Command, o *clientOptions, operations ...profilekeeper.Operation) error {
	accepted, err := f.submit(cmd, o, operations)
	if err != nil {
		return err
	}
	return o.print(cmd.OutOrStdout(), accepted, func(w io.Writer) error { return printAccepted(w, accepted) })
}

// submit sends operations as one change, under the id of --change-id or a new one.
// If it fails, it prints to stderr what the change conflicts with, or how to learn
// its outcome.
func (f *changeFlags) submit(cmd *cobra.Command, o *clientOptions, operations []profilekeeper.Operation) (accepted profilekeeper.Acceptance, err error) {
	if f.reason == "" {
		return accepted, usageErrorf("--reason is missing")
	}
	id := identifier.ChangeID(f.changeID)
	if id == "" {
		id = identifier.ChangeID(uuid.NewString())
	}
	accepted, err = o.operatorClient().Change(cmd.Context(), id, f.reason, operations)
	if err != nil {
		reportFailedChange(cmd.ErrOrStderr(), id, operations, err)
		return accepted, operatorError(err)
	}
	return accepted, nil
}

// reportFailedChange prints the changes that a refused change conflicts with. If
// the outcome is not known, it prints the flags that repeat the same change.
func reportFailedChange(w io.Writer, id identifier.ChangeID, operations []profilekeeper.Operation, err error) {
	var unreachable *operatorserver.UnreachableError
	var refused *operatorserver.RefusedError
	if !errors.As(err, &refused) && !errors.As(err, &unreachable) {
		return
	}
	if refused == nil || refused.Cause == operatorserver.CauseOutcomeUnknown {
		fmt.Fprintf(w, "The change may have been made. Repeat the command with --change-id %s%s to settle it.\n", id, baseFlag(operations))
		return
	}
	for _, c := range refused.Changes {
		fmt.Fprintf(w, "version %d: %s by %s at %s: %s\n", c.Version, c.Kind, c.Author, c.At.Format(time.RFC3339), c.Reason)
	}
}

// baseFlag returns the --base flag with which a repeated command submits the same
// change of one profile, or "" if the operations have no base version.
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
