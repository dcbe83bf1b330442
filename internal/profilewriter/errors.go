package profilewriter

import (
	"fmt"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// NotMadeError says that a change was not made and won't be: the store was out
// of reach, or others kept changing the book.
type NotMadeError struct{ Detail string }

// Error implements error.
func (e *NotMadeError) Error() string { return "not made: " + e.Detail }

// OutcomeUnknownError says that a change may have been made. The same request
// with the same id settles it later.
type OutcomeUnknownError struct{ ID identifier.ChangeID }

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("the store's answer was lost and can't be settled now; repeat the request with the change id %s", e.ID)
}
