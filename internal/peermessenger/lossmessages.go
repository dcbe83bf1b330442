package peermessenger

import "github.com/peppertrack/peppertrack/internal/identifier"

// LossCause says how a backend server was lost.
type LossCause uint8

// The ways in which a server is lost.
const (
	ServerCrashed LossCause = iota + 1 // its process has ended, or refuses connections
	ServerSilent                       // it did not answer until the leases of its runs had lapsed
)

// String returns the cause as logs show it.
func (c LossCause) String() string {
	switch c {
	case ServerCrashed:
		return "crashed"
	case ServerSilent:
		return "silent"
	}
	return "unknown"
}

// LostRun is a run that was lost with its backend server. VMs repeat it to each other in
// their load reports, so that it outlives the server's owner and the job's home.
type LostRun struct {
	Run     identifier.RunRef    `cbor:"1,keyasint"`
	Backend identifier.BackendID `cbor:"2,keyasint"`
	Cause   LossCause            `cbor:"3,keyasint"`
	Alone   bool                 `cbor:"4,keyasint,omitempty"` // the server was kept free for this run
	Newest  bool                 `cbor:"5,keyasint,omitempty"` // of the server's runs, it was started last
}
