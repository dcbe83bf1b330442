package cmd

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain lets scripts run the program as the command pepperstand.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"httpcall":    func() { os.Exit(httpCall(os.Args[1:])) },
		"pepperstand": func() { os.Exit(Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs each script in testdata/scripts. A script's command "address
// VARIABLE FILE" waits for the address in a file, "httpcall METHOD URL [BODY]"
// prints an answer's status and body, and "system SCENARIO" runs a system in
// this process.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/scripts",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"address": addressCmd,
			"system":  systemCmd,
		},
	})
}
