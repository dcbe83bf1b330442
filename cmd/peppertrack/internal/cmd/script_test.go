package cmd

import (
	"os"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain makes the program available to the scripts as the command peppertrack.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"peppertrack": func() { os.Exit(Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs each script in testdata/scripts. The script command "exitcode N
// args..." runs peppertrack and fails unless its exit code is N. "fakecallers FILE"
// serves the callers' API with the replies in FILE. "fakeoperators" serves the
// operators' API from a store in memory, whose faults "store up|down|loses" sets.
// "edit FILE OLD NEW" replaces a text in a file.
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
