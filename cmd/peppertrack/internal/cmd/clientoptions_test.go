package cmd

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"
)

// TestClientOptions checks that a flag overrides the environment, that the
// environment overrides the file, and that invalid options are usage errors.
func TestClientOptions(t *testing.T) {
	file := filepath.Join(t.TempDir(), "client.yaml")
	if err := os.WriteFile(file, []byte("server: http://file:1\ntoken: fromFile\noutput: json\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	if err := os.WriteFile(bad, []byte("serverr: http://file:1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		name    string
		flags   []string
		env     map[string]string
		want    clientOptions
		wantErr string
	}{
		{name: "defaults", want: clientOptions{defaultServer, "", outputText}},
		{name: "file", env: map[string]string{envConfig: file}, want: clientOptions{"http://file:1", "fromFile", outputJSON}},
		{name: "environment", env: map[string]string{envConfig: file, envServer: "http://env:1"}, want: clientOptions{"http://env:1", "fromFile", outputJSON}},
		{
			name: "flags", flags: []string{"--server=http://flag:1", "--output=text"},
			env: map[string]string{envConfig: file, envServer: "http://env:1"}, want: clientOptions{"http://flag:1", "fromFile", outputText},
		},
		{name: "unknown key", env: map[string]string{envConfig: bad}, wantErr: "field serverr not found"},
		{name: "missing file", env: map[string]string{envConfig: file + "x"}, wantErr: "no such file"},
		{name: "server", flags: []string{"--server=example:1"}, wantErr: "is not a URL"},
		{name: "output", flags: []string{"--output=xml"}, wantErr: "output: \"xml\" is neither"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Setenv("XDG_CONFIG_HOME", t.TempDir())
			for _, name := range []string{envServer, envToken, envOutput, envConfig} {
				t.Setenv(name, tt.env[name])
			}
			cmd := &cobra.Command{Use: "c", RunE: func(*cobra.Command, []string) error { return nil }, SilenceErrors: true, SilenceUsage: true}
			o := addClientFlags(cmd)
			cmd.SetArgs(tt.flags)
			err := cmd.Execute()
			if tt.wantErr != "" {
				if err == nil || !strings.Contains(err.Error(), tt.wantErr) || exitCodeOf(err) != exitUsage {
					t.Fatalf("error %v with exit code %d, want %q with %d", err, exitCodeOf(err), tt.wantErr, exitUsage)
				}
				return
			}
			if err != nil || *o != tt.want {
				t.Errorf("options %+v, %v, want %+v", *o, err, tt.want)
			}
		})
	}
}

func TestPrint(t *testing.T) {
	text := func(w io.Writer) error {
		_, err := io.WriteString(w, "one\n")
		return err
	}
	for format, want := range map[outputFormat]string{outputText: "one\n", outputJSON: "[\n  1\n]\n"} {
		var b bytes.Buffer
		o := clientOptions{Output: format}
		if err := o.print(&b, []int{1}, text); err != nil || b.String() != want {
			t.Errorf("print as %s = %q, %v, want %q", format, b.String(), err, want)
		}
	}
}
