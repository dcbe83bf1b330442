package placer

import "github.com/peppertrack/peppertrack/internal/identifier"

// Placement says on which backend server to start a task.
type Placement struct {
	Ref     identifier.TaskRef
	Backend identifier.BackendID
	Address string
}
