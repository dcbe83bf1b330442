package settingsloader

import (
	"strings"

	"go.yaml.in/yaml/v3"
)

// locator finds the line of a field in a settings file.
type locator struct {
	fileName string
	root     *yaml.Node // nil when the file is empty
}

func newLocator(fileName string, data []byte) locator {
	var document yaml.Node
	if err := yaml.Unmarshal(data, &document); err != nil || len(document.Content) == 0 {
		return locator{fileName: fileName}
	}
	return locator{fileName: fileName, root: document.Content[0]}
}

// fieldError returns the error for the field at a path of keys joined with dots.
func (l locator) fieldError(field, problem string) error {
	return &FieldError{Source: l.fileName, Line: l.line(field), Field: field, Problem: problem}
}

func (l locator) line(field string) int {
	node := l.root
	for _, key := range strings.Split(field, ".") {
		node = child(node, key)
	}
	if node == nil {
		return 0
	}
	return node.Line
}

func child(node *yaml.Node, key string) *yaml.Node {
	if node == nil || node.Kind != yaml.MappingNode {
		return nil
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == key {
			return node.Content[i+1]
		}
	}
	return nil
}
