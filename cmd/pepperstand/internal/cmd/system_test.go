package cmd

import (
	"context"
	"strings"

	"github.com/go-kit/log"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/peppertrack/peppertrack/internal/experimenter"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

// systemCmd runs the system of a scenario until the script's end and sets
// ENTRY_VMS and BACKENDS to its addresses.
func systemCmd(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: system SCENARIO.yaml")
	}
	scenario, err := experimenter.Parse(strings.NewReader(ts.ReadFile(args[0])))
	ts.Check(err)
	local := experimenter.Local{Logger: log.NewNopLogger()}
	system, err := local.Open(context.Background(), scenario, profileparser.Reserve)
	ts.Check(err)
	ts.Defer(func() { ts.Check(system.Close()) })
	ts.Setenv("ENTRY_VMS", strings.Join(system.EntryVMs(), ","))
	ts.Setenv("BACKENDS", system.BackendAdmin())
}
