// Package profileparser reads and writes profiles, the declarations by which
// operators state how jobs of one kind are treated.
//
// A file holds one YAML document for each profile. Every field has a default,
// bounds and, where it measures something, a unit. An unknown, repeated or
// ill-typed field is an error that names file, line and field.
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

// Bounds of a file.
const (
	MaxFileSize     = 1 << 20 // bytes
	MaxFileProfiles = 1_000
)

// sections are the fields that hold further fields.
var sections = sectionsOf(schema)

// Parse returns the profiles of a file. Fields that a profile leaves out take
// the values of Default. A fault in the file is an *InvalidError, which holds
// all faults that were found.
func Parse(file string, data []byte) ([]Profile, error) {
	p := &parser{file: file}
	profiles := p.parse(data)
	if len(p.faults) > 0 {
		return nil, &InvalidError{Faults: p.faults}
	}
	return profiles, nil
}

// parser gathers the faults of one file.
type parser struct {
	file   string
	faults []FieldError
}

func (p *parser) fault(line int, field, format string, args ...any) {
	p.faults = append(p.faults, FieldError{File: p.file, Line: line, Field: field, Problem: fmt.Sprintf(format, args...)})
}

func (p *parser) parse(data []byte) []Profile {
	if len(data) > MaxFileSize {
		p.fault(0, "", "%d bytes are above the bound of %d", len(data), MaxFileSize)
		return nil
	}
	var profiles []Profile
	lines := make(map[string]int)
	d := yaml.NewDecoder(bytes.NewReader(data))
	for len(profiles) < MaxFileProfiles {
		var n yaml.Node
		err := d.Decode(&n)
		if errors.Is(err, io.EOF) {
			return profiles
		}
		if err != nil {
			p.fault(0, "", "%s", strings.TrimPrefix(err.Error(), "yaml: "))
			return nil
		}
		profile, line := p.document(&n)
		if first, ok := lines[string(profile.Name)]; ok && profile.Name != "" {
			p.fault(line, "name", "%s stands already on line %d", profile.Name, first)
		}
		lines[string(profile.Name)] = line
		profiles = append(profiles, profile)
	}
	p.fault(0, "", "more than %d profiles", MaxFileProfiles-1)
	return nil
}

// document reads one profile and returns it with the line of its name.
func (p *parser) document(n *yaml.Node) (profile Profile, line int) {
	profile = Default()
	if n.Kind != yaml.DocumentNode || len(n.Content) != 1 || n.Content[0].Kind != yaml.MappingNode {
		p.fault(n.Line, "", "a profile is a mapping of fields to values")
		return profile, n.Line
	}
	seen := make(map[string]int)
	p.mapping(&profile, "", n.Content[0], seen)
	line, ok := seen["name"]
	if !ok {
		p.fault(n.Content[0].Line, "name", "is missing")
	}
	return profile, line
}

// mapping reads the fields below a section; the prefix is empty or ends in a dot.
func (p *parser) mapping(profile *Profile, prefix string, n *yaml.Node, seen map[string]int) {
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		path := prefix + key.Value
		if first, ok := seen[path]; ok {
			p.fault(key.Line, path, "stands already on line %d", first)
			continue
		}
		seen[path] = key.Line
		p.field(profile, path, key, value, seen)
	}
}

func (p *parser) field(profile *Profile, path string, key, value *yaml.Node, seen map[string]int) {
	if value.Anchor != "" || value.Kind == yaml.AliasNode {
		p.fault(key.Line, path, "anchors and aliases are not allowed")
		return
	}
	if sections[path] {
		if value.Kind != yaml.MappingNode {
			p.fault(key.Line, path, "is not a mapping")
			return
		}
		p.mapping(profile, path+".", value, seen)
		return
	}
	set, ok := schema[path]
	if team, isQuota := strings.CutPrefix(path, "quotas."); isQuota {
		set, ok = func(profile *Profile, n *yaml.Node) error { return setQuota(profile, team, n) }, true
	}
	if !ok {
		p.fault(key.Line, path, "is not a field of a profile; the fields are %s", fieldNames())
		return
	}
	if value.Kind != yaml.ScalarNode || value.Tag == "!!null" {
		p.fault(key.Line, path, "has no value")
		return
	}
	if err := set(profile, value); err != nil {
		p.fault(value.Line, path, "%s", err)
	}
}

// sectionsOf returns the paths that stand before a dot in the schema, and quotas.
func sectionsOf(schema map[string]setter) map[string]bool {
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
