package cmd

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/peppertrack/peppertrack/internal/settingsloader"
)

func newConfigCmd() *cobra.Command {
	return newGroupCmd("config", "Check and show the settings of an entry VM",
		newConfigCheckCmd(),
		newConfigShowCmd(),
	)
}

func newConfigCheckCmd() *cobra.Command {
	var set []string
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file as the daemon does",
		Args:  usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := loadSettings(args[0], set); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s is good\n", args[0])
			return nil
		},
	}
	addSetFlag(cmd, &set)
	return cmd
}

func newConfigShowCmd() *cobra.Command {
	var set []string
	cmd := &cobra.Command{
		Use:   "show [FILE]",
		Short: "Print the settings that result from a file, or all defaults",
		Args:  usageArgs(cobra.MaximumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			settings := settingsloader.Default()
			if len(args) == 0 && len(set) > 0 {
				return usageErrorf("--set needs a FILE")
			}
			if len(args) == 1 {
				var err error
				if settings, err = loadSettings(args[0], set); err != nil {
					return err
				}
			}
			data, err := settingsloader.Encode(settings)
			if err != nil {
				return err
			}
			_, err = cmd.OutOrStdout().Write(data)
			return err
		},
	}
	addSetFlag(cmd, &set)
	return cmd
}

func addSetFlag(cmd *cobra.Command, set *[]string) {
	cmd.Flags().StringArrayVar(set, "set", nil, "one setting, as path.to.key=value; may be repeated")
}

func loadSettings(name string, set []string) (settings settingsloader.Settings, err error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return settings, errors.Wrap(err, "reading settings")
	}
	return settingsloader.Load(settingsloader.Sources{
		FileName: name,
		File:     data,
		Environ:  os.Environ(),
		Flags:    set,
	})
}
