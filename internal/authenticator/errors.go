package authenticator

// UnauthenticatedError says that nobody known makes the request: status 401.
type UnauthenticatedError struct{ Detail string }

// Error returns the detail.
func (e *UnauthenticatedError) Error() string { return "unauthenticated: " + e.Detail }

// ForbiddenError says that who makes the request may not do so: status 403.
type ForbiddenError struct{ Detail string }

// Error returns the detail.
func (e *ForbiddenError) Error() string { return "forbidden: " + e.Detail }
