package cmd

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain makes pepperstand and httpcall available to the scripts as commands.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"httpcall":    func() { os.Exit(httpCall(os.Args[1:])) },
		"pepperstand": func() { os.Exit(Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs each script in testdata/scripts. The script command "address
// VARIABLE FILE" waits for an address in a file and sets the variable to it,
// "httpcall [h2:]METHOD URL [BODY]" prints an answer's status and body, and "system
// SCENARIO" runs the system of a scenario in this process.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/scripts",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"address": addressCmd,
			"system":  systemCmd,
		},
	})
}
