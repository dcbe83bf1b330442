package cmd

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"go.yaml.in/yaml/v3"
)

// Names of the environment variables that stand in for the client's flags.
const (
	envServer = "PEPPERTRACK_SERVER"
	envToken  = "PEPPERTRACK_TOKEN"
	envOutput = "PEPPERTRACK_OUTPUT"
	envConfig = "PEPPERTRACK_CLIENT_CONFIG"
)

const defaultServer = "http://127.0.0.1:7070"

const maxClientConfigSize = 64 << 10 // bytes

// outputFormat is how a command prints what it found.
type outputFormat string

// The output formats.
const (
	outputText outputFormat = "text"
	outputJSON outputFormat = "json"
)

// clientOptions are the options of every command that talks to a server. A flag
// goes before the environment, the environment before the file.
type clientOptions struct {
	Server string       `yaml:"server"` // URL of an entry VM or of the balancer
	Token  string       `yaml:"token"`  // bearer token of the team or operator
	Output outputFormat `yaml:"output"`
}

// addClientFlags adds the shared flags to a command and its children. The
// options are complete when the command's RunE is called.
func addClientFlags(cmd *cobra.Command) *clientOptions {
	o := &clientOptions{}
	flags := cmd.PersistentFlags()
	flags.StringVar(&o.Server, "server", "", "URL of an entry VM or the balancer (environment: "+envServer+")")
	flags.StringVar(&o.Token, "token", "", "bearer token (environment: "+envToken+")")
	flags.StringVar((*string)(&o.Output), "output", "", "text or json (environment: "+envOutput+")")
	cmd.PersistentPreRunE = func(*cobra.Command, []string) error {
		return withExitCode(exitUsage, o.resolve(os.Getenv))
	}
	return o
}

// resolve fills what the flags left out and checks the result.
func (o *clientOptions) resolve(getenv func(string) string) (err error) {
	defer func() { err = errors.Wrap(err, "client options") }()
	file, err := readClientConfig(getenv(envConfig))
	if err != nil {
		return err
	}
	o.Server = cmp.Or(o.Server, getenv(envServer), file.Server, defaultServer)
	o.Token = cmp.Or(o.Token, getenv(envToken), file.Token)
	o.Output = cmp.Or(o.Output, outputFormat(getenv(envOutput)), file.Output, outputText)
	u, err := url.Parse(o.Server)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return errors.Newf("server: %q is not a URL such as %s", o.Server, defaultServer)
	}
	if o.Output != outputText && o.Output != outputJSON {
		return errors.Newf("output: %q is neither %s nor %s", o.Output, outputText, outputJSON)
	}
	return nil
}

// readClientConfig reads the named file, else the user's own if there is one.
func readClientConfig(file string) (o clientOptions, err error) {
	named := file != ""
	if !named {
		dir, err := os.UserConfigDir()
		if err != nil {
			return o, nil
		}
		file = filepath.Join(dir, "peppertrack", "client.yaml")
	}
	f, err := os.Open(file)
	if errors.Is(err, os.ErrNotExist) && !named {
		return o, nil
	}
	if err != nil {
		return o, err
	}
	defer f.Close()
	d := yaml.NewDecoder(io.LimitReader(f, maxClientConfigSize))
	d.KnownFields(true)
	if err := d.Decode(&o); err != nil && !errors.Is(err, io.EOF) {
		return o, errors.Wrap(err, file)
	}
	return o, nil
}

// print writes v as JSON, or calls text to write it for a reader.
func (o *clientOptions) print(w io.Writer, v any, text func(w io.Writer) error) error {
	if o.Output == outputText {
		return text(w)
	}
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "writing JSON")
	}
	_, err = fmt.Fprintln(w, string(data))
	return err
}
