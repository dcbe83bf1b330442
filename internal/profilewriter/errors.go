package profilewriter

import (
	"fmt"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// NotMadeError reports that the changes of a request were not made and will not be:
// the store was unreachable, or concurrent requests won every attempt.
type NotMadeError struct{ Detail string }

// Error implements error.
func (e *NotMadeError) Error() string { return "not made: " + e.Detail }

// OutcomeUnknownError reports that the changes of a request may have been made.
// Repeating the same request with the same id finds out.
type OutcomeUnknownError struct{ ID identifier.ChangeID }

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("the store's answer was lost and can't be settled now; repeat the request with the change id %s", e.ID)
}
