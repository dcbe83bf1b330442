package callerserver

import "fmt"

// FieldError says which field of a request is wrong.
type FieldError struct {
	Field   string
	Problem string
}

// Error returns the field and the problem.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s", e.Field, e.Problem)
}
