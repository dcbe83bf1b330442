package repeater

import "github.com/peppertrack/peppertrack/internal/identifier"

// Server is a backend server as the platform lists it.
type Server struct {
	ID         identifier.BackendID
	Address    string
	Pool       identifier.PoolID
	Domain     identifier.FailureDomain
	Cores      identifier.Millicores
	Memory     identifier.Mebibytes
	Leaving    bool // accepts no new work
	Generation identifier.Generation
	// ColdUntilMillis is when the server stops being slow after its start, in milliseconds
	// of Unix time; 0: it is not slow.
	ColdUntilMillis int64 `cbor:",omitempty"`
}
