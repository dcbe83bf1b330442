package claimer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Options configure a Claimer. Zero values take the defaults.
type Options struct {
	Self                  identifier.Member
	Domain                identifier.FailureDomain
	Retention             time.Duration    // the age limit of ids and of their records
	ClockBound            time.Duration    // the largest difference between a VM's clock and true time
	ClaimTimeout          time.Duration    // after which a request that can't be decided is answered as unverifiable
	RetryAfter            time.Duration    // proposed to callers whose request may succeed later
	ResendInterval        time.Duration    // between repetitions of an unanswered message
	MaxRecords            int              // kept records from which on new claims are refused; records of peers are taken until there are peerRecordsFactor times as many
	MaxEndingsBytes       identifier.Bytes // estimated size of all kept endings; above it, the earliest endings are dropped and their records have only the kind
	MaxRequests           int              // undecided requests
	PageRecords           int              // records in one message
	PageBytes             identifier.Bytes // estimated size of the records in one message
	MaxWitnessEndingBytes identifier.Bytes // the largest ending that is sent in full to a witness or in a takeover

	defects defects
}

// Defaults of Options.
const (
	DefaultRetention             = 10 * time.Minute
	DefaultClockBound            = time.Second
	DefaultClaimTimeout          = 2 * time.Second
	DefaultRetryAfter            = time.Second
	DefaultResendInterval        = 100 * time.Millisecond
	DefaultMaxRecords            = 1 << 18
	DefaultMaxEndingsBytes       = 64 << 20
	DefaultMaxRequests           = 1 << 14
	DefaultPageRecords           = 1 << 10
	DefaultPageBytes             = 256 << 10
	DefaultMaxWitnessEndingBytes = 4 << 10
)

// defects disables rules of the protocol, for tests which show that the
// invariants depend on them.
type defects struct {
	witnessIgnoresEpoch          bool // the witness records claims of closed epochs
	homeIgnoresEpoch             bool // the home starts jobs in closed epochs
	skipToAnyCaughtUp            bool // takeover accepts a caught-up member of any earlier epoch and leaves the epochs between open
	skipEpoch                    bool // takeover skips the latest earlier epoch
	treatUnreachableAsTerminated bool // takeover treats unreachable members as terminated
	unconfirmedEnding            bool // the home answers with the ending from another runner without asking its witness
	answerQueryWithoutPromise    bool // a runner answers queries without a promise
	ignoreBody                   bool // a request with another body is treated as the same
	waitForever                  bool // requests that can't be decided never time out
}

func (o *Options) setDefaults() {
	setDefault(&o.Retention, DefaultRetention)
	setDefault(&o.ClockBound, DefaultClockBound)
	setDefault(&o.ClaimTimeout, DefaultClaimTimeout)
	setDefault(&o.RetryAfter, DefaultRetryAfter)
	setDefault(&o.ResendInterval, DefaultResendInterval)
	setDefault(&o.MaxRecords, DefaultMaxRecords)
	setDefault(&o.MaxEndingsBytes, DefaultMaxEndingsBytes)
	setDefault(&o.MaxRequests, DefaultMaxRequests)
	setDefault(&o.PageRecords, DefaultPageRecords)
	setDefault(&o.PageBytes, DefaultPageBytes)
	setDefault(&o.MaxWitnessEndingBytes, DefaultMaxWitnessEndingBytes)
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}
