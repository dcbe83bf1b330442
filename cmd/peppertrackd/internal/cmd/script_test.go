package cmd

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain makes the program available to the scripts as the command peppertrackd.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"peppertrackd": func() { os.Exit(Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs each script in testdata/scripts.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/scripts"})
}
