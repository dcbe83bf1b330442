package callerserver

import "fmt"

// FieldError reports a field of a request that is invalid.
type FieldError struct {
	Field   string
	Problem string
}

// Error returns the field and the problem.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s", e.Field, e.Problem)
}
