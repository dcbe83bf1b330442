package profilekeeper

import (
	"fmt"
	"strings"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// InvalidRequestError reports a request field that is invalid.
type InvalidRequestError struct{ Field, Problem string }

// Error implements error.
func (e *InvalidRequestError) Error() string { return e.Field + " " + e.Problem }

// NotFoundError reports that a profile or token does not exist.
type NotFoundError struct{ Subject string }

// Error implements error.
func (e *NotFoundError) Error() string { return e.Subject + " is not known" }

// ExistsError reports that a profile or token to be created already exists.
type ExistsError struct {
	Subject string
	Version identifier.ProfileVersion // of the book in which the profile last changed; 0 for a token
}

// Error implements error.
func (e *ExistsError) Error() string {
	return fmt.Sprintf("%s exists already, at version %d", e.Subject, e.Version)
}

// RetiredError reports that a profile or token is retired. A profile with a
// retired name can only be created by a request with Revive.
type RetiredError struct {
	Subject string
	Version identifier.ProfileVersion // of the book in which the profile was retired; 0 for a token
}

// Error implements error.
func (e *RetiredError) Error() string {
	return fmt.Sprintf("%s was retired at version %d", e.Subject, e.Version)
}

// ConflictError reports that the version of the book in which a profile last changed
// is not the base version of the operation.
type ConflictError struct {
	Base    identifier.ProfileVersion
	Current Entry
	Changes []Change // to the profile after Base that are still in the history
}

// Error implements error.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s is at version %d, not at %d", e.Current.Profile.Name, e.Current.Version, e.Base)
	for _, c := range e.Changes {
		fmt.Fprintf(&b, "; version %d: %s by %s (%s)", c.Version, c.Kind, c.Author, c.Reason)
	}
	return b.String()
}

// ReusedIDError reports that the id of a request was already used by a different
// request.
type ReusedIDError struct{ Recent RecentRequest }

// Error implements error.
func (e *ReusedIDError) Error() string {
	return fmt.Sprintf("change id %s stands for another request, accepted at version %d", e.Recent.ID, e.Recent.Last)
}

// BookFullError reports that a request would exceed a limit of the book.
type BookFullError struct{ Detail string }

// Error implements error.
func (e *BookFullError) Error() string { return "the book of profiles is full: " + e.Detail }
