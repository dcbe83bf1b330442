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

// Environment variables that are read where a flag is not given.
const (
	envServer = "PEPPERTRACK_SERVER"
	envToken  = "PEPPERTRACK_TOKEN"
	envOutput = "PEPPERTRACK_OUTPUT"
	envConfig = "PEPPERTRACK_CLIENT_CONFIG"
)

// The same for the operators' commands.
const (
	envOperatorsServer = "PEPPERTRACK_OPERATORS_SERVER"
	envOperatorsToken  = "PEPPERTRACK_OPERATORS_TOKEN"
)

// The servers of an entry VM with default settings.
const (
	defaultServer          = "http://127.0.0.1:7101"
	defaultOperatorsServer = "http://127.0.0.1:7102"
)

const maxClientConfigSize = 64 << 10 // bytes

// outputFormat is the format of a command's output.
type outputFormat string

// The output formats.
const (
	outputText outputFormat = "text"
	outputJSON outputFormat = "json"
)

// clientOptions are the options of every command that calls a server. A flag
// overrides the environment, which overrides the file.
type clientOptions struct {
	Server string // URL of an entry VM or of the balancer
	Token  string // bearer token of the team or operator
	Output outputFormat
}

// clientConfig is the content of the client's configuration file.
type clientConfig struct {
	Server          string       `yaml:"server"`
	Token           string       `yaml:"token"`
	OperatorsServer string       `yaml:"operatorsServer"`
	OperatorsToken  string       `yaml:"operatorsToken"`
	Output          outputFormat `yaml:"output"`
}

// clientSources says where the server and the token come from if their flags are
// not given.
type clientSources struct {
	serverEnv, tokenEnv string
	fromFile            func(clientConfig) (server, token string)
	defaultServer       string
}

var callerSources = clientSources{
	serverEnv: envServer, tokenEnv: envToken, defaultServer: defaultServer,
	fromFile: func(c clientConfig) (server, token string) { return c.Server, c.Token },
}

var operatorSources = clientSources{
	serverEnv: envOperatorsServer, tokenEnv: envOperatorsToken, defaultServer: defaultOperatorsServer,
	fromFile: func(c clientConfig) (server, token string) { return c.OperatorsServer, c.OperatorsToken },
}

// addClientFlags adds the shared flags of callers' commands to a command and its
// children. The options are resolved before the command's RunE is called.
func addClientFlags(cmd *cobra.Command) *clientOptions { return addFlags(cmd, callerSources) }

// addOperatorFlags does the same for operators' commands.
func addOperatorFlags(cmd *cobra.Command) *clientOptions { return addFlags(cmd, operatorSources) }

func addFlags(cmd *cobra.Command, sources clientSources) *clientOptions {
	o := &clientOptions{}
	flags := cmd.PersistentFlags()
	flags.StringVar(&o.Server, "server", "", "URL of an entry VM or the balancer (environment: "+sources.serverEnv+")")
	flags.StringVar(&o.Token, "token", "", "bearer token (environment: "+sources.tokenEnv+")")
	flags.StringVar((*string)(&o.Output), "output", "", "text or json (environment: "+envOutput+")")
	cmd.PersistentPreRunE = func(*cobra.Command, []string) error {
		return withExitCode(exitUsage, o.resolve(sources, os.Getenv))
	}
	return o
}

// resolve sets the options whose flags were not given and checks the result.
func (o *clientOptions) resolve(sources clientSources, getenv func(string) string) (err error) {
	defer func() { err = errors.Wrap(err, "client options") }()
	file, err := readClientConfig(getenv(envConfig))
	if err != nil {
		return err
	}
	server, token := sources.fromFile(file)
	o.Server = cmp.Or(o.Server, getenv(sources.serverEnv), server, sources.defaultServer)
	o.Token = cmp.Or(o.Token, getenv(sources.tokenEnv), token)
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

// readClientConfig reads the named file. Without a name, it reads
// peppertrack/client.yaml in the user's configuration directory, if it exists.
func readClientConfig(file string) (c clientConfig, err error) {
	named := file != ""
	if !named {
		dir, err := os.UserConfigDir()
		if err != nil {
			return c, nil
		}
		file = filepath.Join(dir, "peppertrack", "client.yaml")
	}
	f, err := os.Open(file)
	if errors.Is(err, os.ErrNotExist) && !named {
		return c, nil
	}
	if err != nil {
		return c, err
	}
	defer f.Close()
	d := yaml.NewDecoder(io.LimitReader(f, maxClientConfigSize))
	d.KnownFields(true)
	if err := d.Decode(&c); err != nil && !errors.Is(err, io.EOF) {
		return c, errors.Wrap(err, file)
	}
	return c, nil
}

// print writes v as JSON, or calls writeText to write it as text.
func (o *clientOptions) print(w io.Writer, v any, writeText func(w io.Writer) error) error {
	if o.Output == outputText {
		return writeText(w)
	}
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "writing JSON")
	}
	_, err = fmt.Fprintln(w, string(data))
	return err
}
