package settingsloader

import (
	"bytes"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
)

// MaxFileSize is the largest size of a settings file, in bytes.
const MaxFileSize = 1 << 20

const environmentPrefix = "PEPPERTRACK_SET_"

// Sources are the inputs that settings come from. Flags override the environment,
// which overrides the file.
type Sources struct {
	FileName string   // for error messages
	File     []byte   // YAML
	Environ  []string // KEY=value; PEPPERTRACK_SET_listen__callers sets listen.callers
	Flags    []string // path.to.key=value
}

// Load applies the sources over the defaults and returns the checked settings. The
// error for an invalid setting is a *FieldError, except that a file that doesn't
// decode gives the error of the YAML decoder.
func Load(s Sources) (settings Settings, err error) {
	defer func() { err = errors.Wrap(err, "loading settings") }()
	if len(s.File) > MaxFileSize {
		return Settings{}, errors.Newf("%s has %d bytes, above the bound of %d", s.FileName, len(s.File), MaxFileSize)
	}
	settings = Default()
	if err := decodeStrict(s.File, &settings); err != nil {
		return Settings{}, errors.Wrap(err, s.FileName)
	}
	for _, entry := range s.Environ {
		if err := setFromEnvironment(entry, &settings); err != nil {
			return Settings{}, err
		}
	}
	for _, entry := range s.Flags {
		if err := setField("flag", entry, &settings); err != nil {
			return Settings{}, err
		}
	}
	if err := check(settings, newLocator(s.FileName, s.File)); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

// Encode returns settings as YAML.
func Encode(settings Settings) (data []byte, err error) {
	defer func() { err = errors.Wrap(err, "encoding settings") }()
	return yaml.Marshal(settings)
}

func decodeStrict(data []byte, settings *Settings) error {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	err := dec.Decode(settings)
	if errors.Is(err, io.EOF) {
		return nil // an empty document changes nothing
	}
	return err
}

func setFromEnvironment(entry string, settings *Settings) error {
	rest, ok := strings.CutPrefix(entry, environmentPrefix)
	if !ok {
		return nil
	}
	key, value, _ := strings.Cut(rest, "=")
	path := strings.ReplaceAll(key, "__", ".")
	return setField("environment", path+"="+value, settings)
}

// setField sets one field, given as path.to.key=value, where value is YAML.
func setField(source, entry string, settings *Settings) error {
	path, value, ok := strings.Cut(entry, "=")
	if !ok {
		return &FieldError{Source: source, Field: entry, Problem: "is not of the form key=value"}
	}
	document := nestedDocument(strings.Split(path, "."), value)
	if err := decodeStrict([]byte(document), settings); err != nil {
		return &FieldError{Source: source, Field: path, Problem: yamlProblem(err)}
	}
	return nil
}

// yamlProblem returns the YAML decoder's message about one value, without the line
// number.
func yamlProblem(err error) string {
	var typeError *yaml.TypeError
	if !errors.As(err, &typeError) || len(typeError.Errors) == 0 {
		return err.Error()
	}
	_, problem, found := strings.Cut(typeError.Errors[0], ": ")
	if !found {
		return typeError.Errors[0]
	}
	return problem
}

// nestedDocument returns a YAML document of nested mappings in which value stands
// at the path of keys.
func nestedDocument(keys []string, value string) string {
	var b strings.Builder
	for depth, key := range keys {
		b.WriteString(strings.Repeat("  ", depth))
		b.WriteString(key)
		b.WriteString(":")
		if depth < len(keys)-1 {
			b.WriteString("\n")
		}
	}
	b.WriteString(" " + value + "\n")
	return b.String()
}
