package profileparser

// Policy names a placement policy.
type Policy string

// The placement policies.
const (
	Reserve    Policy = "reserve"    // slots that this entry VM holds, then borrowed ones
	TwoChoices Policy = "twoChoices" // the less loaded of two backend servers
	Random     Policy = "random"
)

// Placement weighs where tasks are placed.
type Placement struct {
	Policy         Policy `cbor:"1,keyasint"`
	Spill          bool   `cbor:"2,keyasint"` // whether tasks may go to other failure domains
	ResponseWeight int    `cbor:"3,keyasint"` // weight of the response time
	MessageWeight  int    `cbor:"4,keyasint"` // weight of wasted messages
}

// Cancellation says what happens to the running tasks of a cancelled job.
type Cancellation string

// The ways of cancelling.
const (
	Stop   Cancellation = "stop"   // running tasks are stopped
	LetRun Cancellation = "letRun" // running tasks end by themselves
)

// Reachability says what new jobs get while something is out of reach.
type Reachability string

// What new jobs get.
const (
	Serve  Reachability = "serve"
	Refuse Reachability = "refuse"
)
