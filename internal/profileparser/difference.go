package profileparser

import (
	"maps"
	"slices"

	"go.yaml.in/yaml/v3"
)

// Difference is a field in which two profiles differ. A value is empty if the field
// is absent from that profile.
type Difference struct {
	Field string `json:"field"` // path of the field, such as placement.policy
	Old   string `json:"old"`
	New   string `json:"new"`
}

// Differences returns the fields in which two profiles differ, ordered by path.
func Differences(old, changed Profile) []Difference {
	before, after := fieldValues(old), fieldValues(changed)
	paths := make(map[string]bool)
	for _, values := range []map[string]string{before, after} {
		for path := range values {
			paths[path] = true
		}
	}
	var found []Difference
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if before[path] != after[path] {
			found = append(found, Difference{Field: path, Old: before[path], New: after[path]})
		}
	}
	return found
}

// fieldValues returns the YAML values of a profile by field path.
func fieldValues(p Profile) map[string]string {
	values := make(map[string]string)
	var n yaml.Node
	if err := n.Encode(newDocument(p)); err != nil {
		return values
	}
	collectValues(&n, "", values)
	return values
}

// collectValues adds the scalar values of a mapping to values, with the prefix before
// their paths.
func collectValues(n *yaml.Node, prefix string, values map[string]string) {
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i].Value, n.Content[i+1]
		if value.Kind == yaml.MappingNode {
			collectValues(value, prefix+key+".", values)
			continue
		}
		values[prefix+key] = value.Value
	}
}
