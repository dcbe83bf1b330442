package cmd

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/peppertrack/peppertrack/internal/authenticator"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/operatorserver"
	"github.com/peppertrack/peppertrack/internal/profilekeeper"
)

func newTokenCmd() *cobra.Command {
	cmd := newGroupCmd("token", "Create, retire and list the tokens of teams and operators")
	o := addOperatorFlags(cmd)
	cmd.AddCommand(newTokenCreateCmd(o), newTokenRetireCmd(o), newTokenListCmd(o), newTokenGenerateCmd(o))
	return cmd
}

func newTokenCreateCmd(o *clientOptions) *cobra.Command {
	var team, operator string
	cmd := &cobra.Command{
		Use:   "create",
		Short: "Create a token for a team or an operator",
		Long: `Create a token for a team or an operator. The command generates the token and
prints it once; the system keeps only its hash.`,
		Args: usageArgs(cobra.NoArgs),
	}
	f := addChangeFlags(cmd)
	cmd.Flags().StringVar(&team, "team", "", "team of callers")
	cmd.Flags().StringVar(&operator, "operator", "", "name of the operator")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if (team == "") == (operator == "") {
			return usageErrorf("need exactly one of --team and --operator")
		}
		if f.changeID != "" {
			return usageErrorf("--change-id can't be used here, since each attempt generates a new token; retire those that are not wanted")
		}
		token := authenticator.NewToken()
		accepted, err := f.submit(cmd, o, []profilekeeper.Operation{profilekeeper.CreateToken{Record: authenticator.Record{
			ID: token.ID, Hash: token.Hash(), Team: identifier.Team(team), Operator: operator, CreatedAt: time.Now().UTC(),
		}}})
		if err != nil {
			return err
		}
		created := createdToken{Acceptance: accepted, ID: token.ID, Token: token.Reveal()}
		return o.print(cmd.OutOrStdout(), created, func(w io.Writer) error {
			fmt.Fprintln(w, created.Token)
			return printAccepted(cmd.ErrOrStderr(), accepted)
		})
	}
	return cmd
}

// createdToken is a new token with its secret, which is printed only this once.
type createdToken struct {
	profilekeeper.Acceptance
	ID    authenticator.TokenID `json:"id"`
	Token string                `json:"token"`
}

func newTokenRetireCmd(o *clientOptions) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "retire ID",
		Short: "Retire a token by its id",
		Args:  usageArgs(cobra.ExactArgs(1)),
	}
	f := addChangeFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		return f.change(cmd, o, profilekeeper.RetireToken{ID: authenticator.TokenID(args[0])})
	}
	return cmd
}

func newTokenListCmd(o *clientOptions) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the tokens by their ids",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			tokens, err := o.operatorClient().Tokens(cmd.Context())
			if err != nil {
				return operatorError(err)
			}
			return o.print(cmd.OutOrStdout(), tokens, func(w io.Writer) error { return printTokens(w, tokens) })
		},
	}
}

func printTokens(w io.Writer, tokens []operatorserver.TokenInfo) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ID\tTEAM\tOPERATOR\tCREATED\tSTATE")
	for _, token := range tokens {
		state := "in force"
		if token.Retired {
			state = "retired"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", token.ID, token.Team, token.Operator, token.CreatedAt.Format(time.RFC3339), state)
	}
	return t.Flush()
}

// generatedToken is a token that no server knows yet.
type generatedToken struct {
	Token string             `json:"token"`
	Hash  authenticator.Hash `json:"hash"`
}

func newTokenGenerateCmd(o *clientOptions) *cobra.Command {
	return &cobra.Command{
		Use:   "generate",
		Short: "Print a new token and its hash, for the settings of the daemon",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			token := authenticator.NewToken()
			generated := generatedToken{Token: token.Reveal(), Hash: token.Hash()}
			return o.print(cmd.OutOrStdout(), generated, func(w io.Writer) error {
				_, err := fmt.Fprintf(w, "token: %s\nhash:  %x\n", generated.Token, generated.Hash)
				return err
			})
		},
	}
}
