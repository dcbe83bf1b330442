package profileparser

// Policy names a placement policy.
type Policy string

// The placement policies.
const (
	Reserve    Policy = "reserve"    // slots that this entry VM holds, then slots borrowed from other entry VMs
	TwoChoices Policy = "twoChoices" // the less loaded of two backend servers
	Random     Policy = "random"     // a random backend server
)

// Placement configures how tasks are placed on backend servers.
type Placement struct {
	Policy         Policy `cbor:"1,keyasint"`
	Spill          bool   `cbor:"2,keyasint"` // whether tasks may go to other failure domains
	ResponseWeight int    `cbor:"3,keyasint"` // compared with MessageWeight: if it is at least as high, placement minimizes the response time
	MessageWeight  int    `cbor:"4,keyasint"` // compared with ResponseWeight: if it is higher, placement minimizes wasted messages
}

// Cancellation states what happens to the running tasks of a cancelled job.
type Cancellation string

// The values of Cancellation.
const (
	Stop   Cancellation = "stop"   // running tasks are stopped
	LetRun Cancellation = "letRun" // running tasks run to completion
)

// UnreachableAction states how new jobs are handled while a part of the system is
// unreachable.
type UnreachableAction string

// The values of UnreachableAction.
const (
	Serve  UnreachableAction = "serve"
	Refuse UnreachableAction = "refuse"
)
