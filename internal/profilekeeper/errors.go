package profilekeeper

import (
	"fmt"
	"strings"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// InvalidRequestError says which field of a request is wrong.
type InvalidRequestError struct{ Field, Problem string }

// Error implements error.
func (e *InvalidRequestError) Error() string { return e.Field + " " + e.Problem }

// UnknownError says that there is no such profile or token.
type UnknownError struct{ Subject string }

// Error implements error.
func (e *UnknownError) Error() string { return e.Subject + " is not known" }

// ExistsError says that a profile or token to be created exists already.
type ExistsError struct {
	Subject string
	Version identifier.ProfileVersion // that last changed it
}

// Error implements error.
func (e *ExistsError) Error() string {
	return fmt.Sprintf("%s exists already, at version %d", e.Subject, e.Version)
}

// RetiredError says that a name was retired. A profile of that name can only be
// created by a request that says so.
type RetiredError struct {
	Subject string
	Version identifier.ProfileVersion // that retired it
}

// Error implements error.
func (e *RetiredError) Error() string {
	return fmt.Sprintf("%s was retired at version %d", e.Subject, e.Version)
}

// ConflictError says that a profile was changed since the version that the
// request was made for.
type ConflictError struct {
	Base    identifier.ProfileVersion
	Current Entry
	Changes []Change // to the profile since Base, as far as the history reaches
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

// ReusedIDError says that a change id stands for another request.
type ReusedIDError struct{ Recent RecentRequest }

// Error implements error.
func (e *ReusedIDError) Error() string {
	return fmt.Sprintf("change id %s stands for another request, accepted at version %d", e.Recent.ID, e.Recent.Last)
}

// FullError says that the book has no room for a change.
type FullError struct{ Detail string }

// Error implements error.
func (e *FullError) Error() string { return "the book of profiles is full: " + e.Detail }
