package cmd

import (
	"os"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain lets scripts run the program as the command peppertrack.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"peppertrack": func() { os.Exit(Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs each script in testdata/scripts. A script's command
// "exitcode N args..." runs peppertrack and holds its exit code to N. A script's
// command "fakecallers FILE" serves the callers' API with the replies in FILE;
// "fakeoperators" serves the operators' API on a store that "store" disturbs.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/scripts",
		Setup: func(e *testscript.Env) error {
			e.Values[fakeOperatorsKey] = &scriptState{}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exitcode":      exitcodeCmd,
			"fakecallers":   fakeCallersCmd,
			"fakeoperators": fakeOperatorsCmd,
			"store":         storeCmd,
			"edit":          editCmd,
		},
	})
}

func exitcodeCmd(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 1 {
		ts.Fatalf("usage: exitcode N args...")
	}
	err := ts.Exec("peppertrack", args[1:]...)
	got := "0"
	if coded, ok := err.(interface{ ExitCode() int }); ok {
		got = string(rune('0' + coded.ExitCode()))
	} else if err != nil {
		ts.Fatalf("%v", err)
	}
	if got != args[0] {
		ts.Fatalf("exit code %s, want %s", got, args[0])
	}
}

// editCmd replaces a text in a file: edit FILE OLD NEW.
func editCmd(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 3 {
		ts.Fatalf("usage: edit FILE OLD NEW")
	}
	text := ts.ReadFile(args[0])
	if !strings.Contains(text, args[1]) {
		ts.Fatalf("%s holds no %q", args[0], args[1])
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(strings.ReplaceAll(text, args[1], args[2])), 0o600))
}
