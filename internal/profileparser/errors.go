package profileparser

import (
	"fmt"
	"strings"
)

// FieldError says what is wrong with one field of one file.
type FieldError struct {
	File    string `json:"file"`
	Line    int    `json:"line,omitempty"`  // from 1; 0 when the file as a whole is meant
	Field   string `json:"field,omitempty"` // path of the field, such as placement.policy
	Problem string `json:"problem"`
}

// Error returns the error as file:line: field: problem.
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

// InvalidError holds every fault that was found in a file. It is never empty.
type InvalidError struct{ Faults []FieldError }

// Error returns the faults, one a line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}
