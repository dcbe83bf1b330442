package profileparser

import (
	"fmt"
	"strings"
)

// FieldError reports a fault in one field of a file.
type FieldError struct {
	File    string `json:"file"`
	Line    int    `json:"line,omitempty"`  // starting at 1; 0 if the fault concerns the whole file
	Field   string `json:"field,omitempty"` // path of the field, such as placement.policy; empty if no field is concerned
	Problem string `json:"problem"`
}

// Error returns the fault in the form "file:line: field: problem".
func (e FieldError) Error() string {
	where := e.File
	if e.Line > 0 {
		where = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Field == "" {
		return fmt.Sprintf("%s: %s", where, e.Problem)
	}
	return fmt.Sprintf("%s: %s: %s", where, e.Field, e.Problem)
}

// InvalidError reports the invalid fields that were found in a file. There is at
// least one.
type InvalidError struct{ FieldErrors []FieldError }

// Error returns the field errors, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.FieldErrors))
	for i, fieldError := range e.FieldErrors {
		lines[i] = fieldError.Error()
	}
	return strings.Join(lines, "\n")
}
