package settingsloader

import "fmt"

// FieldError says which setting is invalid and where it is set.
type FieldError struct {
	Source  string // file name, or "environment" or "flag"
	Line    int    // 0 if not known
	Field   string // path of keys, joined with dots
	Problem string
}

// Error returns the place, the field and the problem.
func (e *FieldError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s: %s", e.Source, e.Field, e.Problem)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.Source, e.Line, e.Field, e.Problem)
}
