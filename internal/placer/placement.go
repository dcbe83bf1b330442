package placer

import "github.com/peppertrack/peppertrack/internal/identifier"

// Placement is the decision to start a task on a backend server.
type Placement struct {
	Ref     identifier.TaskRef
	Backend identifier.BackendID
	Address string
}
