// Package profileparser parses and encodes profiles, in which operators declare how
// jobs of one kind are handled.
//
// A file contains one YAML document per profile. Every field except the name has a
// default. Numbers, durations and text have bounds, and durations have a unit. An
// unknown or duplicate field, or one of the wrong type, is an error that names the
// file, line and field.
package profileparser

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
)

// Limits of a file.
const (
	MaxFileSize       = 1 << 20 // bytes
	FileProfilesLimit = 1_000   // one more than a file may contain
)

// sections are the paths of the fields that are mappings.
var sections = schemaSections(schema)

// Parse returns the profiles in a file. Fields that a profile omits get the values
// of Default. If the file is invalid, the error is an *InvalidError with all
// field errors that were found.
func Parse(file string, data []byte) ([]Profile, error) {
	p := &parser{file: file}
	profiles := p.parse(data)
	if len(p.fieldErrors) > 0 {
		return nil, &InvalidError{FieldErrors: p.fieldErrors}
	}
	return profiles, nil
}

// parser collects the field errors of one file.
type parser struct {
	file        string
	fieldErrors []FieldError
}

func (p *parser) addFieldError(line int, field, format string, args ...any) {
	p.fieldErrors = append(p.fieldErrors, FieldError{File: p.file, Line: line, Field: field, Problem: fmt.Sprintf(format, args...)})
}

func (p *parser) parse(data []byte) []Profile {
	if len(data) > MaxFileSize {
		p.addFieldError(0, "", "%d bytes are above the bound of %d", len(data), MaxFileSize)
		return nil
	}
	var profiles []Profile
	lines := make(map[string]int)
	d := yaml.NewDecoder(bytes.NewReader(data))
	for len(profiles) < FileProfilesLimit {
		var n yaml.Node
		err := d.Decode(&n)
		if errors.Is(err, io.EOF) {
			return profiles
		}
		if err != nil {
			p.addFieldError(0, "", "%s", strings.TrimPrefix(err.Error(), "yaml: "))
			return nil
		}
		profile, line := p.parseDocument(&n)
		if first, ok := lines[string(profile.Name)]; ok && profile.Name != "" {
			p.addFieldError(line, "name", "%s is already used on line %d", profile.Name, first)
		}
		lines[string(profile.Name)] = line
		profiles = append(profiles, profile)
	}
	p.addFieldError(0, "", "the file has more than %d profiles", FileProfilesLimit-1)
	return nil
}

// parseDocument parses one profile and returns it with the line of its name, or 0 if
// it has no name. For a document that is not a mapping it returns the document's
// line.
func (p *parser) parseDocument(n *yaml.Node) (profile Profile, line int) {
	profile = Default()
	if n.Kind != yaml.DocumentNode || len(n.Content) != 1 || n.Content[0].Kind != yaml.MappingNode {
		p.addFieldError(n.Line, "", "a profile is a mapping of fields to values")
		return profile, n.Line
	}
	seen := make(map[string]int)
	p.parseMapping(&profile, "", n.Content[0], seen)
	line, ok := seen["name"]
	if !ok {
		p.addFieldError(n.Content[0].Line, "name", "is missing")
	}
	return profile, line
}

// parseMapping parses the fields of a section. The prefix is the path of the section
// with a final dot, or empty at the top level.
func (p *parser) parseMapping(profile *Profile, prefix string, n *yaml.Node, seen map[string]int) {
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		path := prefix + key.Value
		if first, ok := seen[path]; ok {
			p.addFieldError(key.Line, path, "stands already on line %d", first)
			continue
		}
		seen[path] = key.Line
		p.parseField(profile, path, key, value, seen)
	}
}

func (p *parser) parseField(profile *Profile, path string, key, value *yaml.Node, seen map[string]int) {
	if value.Anchor != "" || value.Kind == yaml.AliasNode {
		p.addFieldError(key.Line, path, "anchors and aliases are not allowed")
		return
	}
	if sections[path] {
		if value.Kind != yaml.MappingNode {
			p.addFieldError(key.Line, path, "is not a mapping")
			return
		}
		p.parseMapping(profile, path+".", value, seen)
		return
	}
	set, ok := schema[path]
	if team, isQuota := strings.CutPrefix(path, "quotas."); isQuota {
		set, ok = func(profile *Profile, n *yaml.Node) error { return setQuota(profile, team, n) }, true
	}
	if !ok {
		p.addFieldError(key.Line, path, "is not a field of a profile; the fields are %s", fieldNames())
		return
	}
	if value.Kind != yaml.ScalarNode || value.Tag == "!!null" {
		p.addFieldError(key.Line, path, "has no value")
		return
	}
	if err := set(profile, value); err != nil {
		p.addFieldError(value.Line, path, "%s", err)
	}
}

// schemaSections returns the parts of the schema's paths before the first dot, and
// quotas.
func schemaSections(schema map[string]fieldSetter) map[string]bool {
	found := map[string]bool{"quotas": true}
	for path := range schema {
		if section, _, ok := strings.Cut(path, "."); ok {
			found[section] = true
		}
	}
	return found
}

func fieldNames() string {
	names := slices.Collect(maps.Keys(schema))
	names = append(names, "quotas.<team>")
	slices.Sort(names)
	return strings.Join(names, ", ")
}
