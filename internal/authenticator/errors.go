package authenticator

// UnauthenticatedError reports a request without a valid token: status 401.
type UnauthenticatedError struct{ Detail string }

// Error returns the detail.
func (e *UnauthenticatedError) Error() string { return "unauthenticated: " + e.Detail }

// ForbiddenError reports a request that its valid token doesn't permit: status 403.
type ForbiddenError struct{ Detail string }

// Error returns the detail.
func (e *ForbiddenError) Error() string { return "forbidden: " + e.Detail }
