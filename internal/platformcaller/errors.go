package platformcaller

import "fmt"

// ConflictError says that a write had no effect, since the key was not at the expected
// revision.
type ConflictError struct{ Current Value }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the key is at revision %d", e.Current.Revision)
}

// UnavailableError says that the service did not serve the call, and that the call had
// no effect.
type UnavailableError struct{ Detail string }

// Error implements error.
func (e *UnavailableError) Error() string {
	return "the platform's service is unavailable: " + e.Detail
}

// OutcomeUnknownError says that a write may or may not have taken effect.
type OutcomeUnknownError struct{ Detail string }

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return "the outcome of the write is unknown: " + e.Detail
}

// LeaseLapsedError says that the service doesn't know the lease or that it has lapsed.
// The call had no effect.
type LeaseLapsedError struct{ Lease LeaseID }

// Error implements error.
func (e *LeaseLapsedError) Error() string {
	return fmt.Sprintf("lease %d has lapsed", e.Lease)
}

// BadRequestError says that the request is invalid, whatever the service's state. The
// call had no effect.
type BadRequestError struct{ Detail string }

// Error implements error.
func (e *BadRequestError) Error() string {
	return "bad request: " + e.Detail
}
