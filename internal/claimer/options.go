package claimer

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Options configure a Claimer. Values of 0 take the defaults.
type Options struct {
	Self         identifier.Member
	Domain       identifier.FailureDomain
	Retention    time.Duration    // the age limit of ids and of their records
	ClockBound   time.Duration    // by which any VM's clock may differ from true time
	ClaimTimeout time.Duration    // before an ask that can't be decided is denied
	RetryAfter   time.Duration    // proposed to callers whose ask may succeed later
	Resend       time.Duration    // between repetitions of a message that was not answered
	MaxRecords   int              // kept records; new claims are refused above it
	MaxEndings   identifier.Bytes // of kept endings, as estimated; above it the earliest are kept by kind only
	MaxAsks      int              // asks that are not decided yet
	PageRecords  int              // records in one message
	PageBytes    identifier.Bytes // of records in one message, as estimated
	SmallEnding  identifier.Bytes // the largest ending that a witness keeps whole

	defects defects
}

// Defaults of Options.
const (
	DefaultRetention    = 10 * time.Minute
	DefaultClockBound   = time.Second
	DefaultClaimTimeout = 2 * time.Second
	DefaultRetryAfter   = time.Second
	DefaultResend       = 100 * time.Millisecond
	DefaultMaxRecords   = 1 << 18
	DefaultMaxEndings   = 64 << 20
	DefaultMaxAsks      = 1 << 14
	DefaultPageRecords  = 1 << 10
	DefaultPageBytes    = 256 << 10
	DefaultSmallEnding  = 4 << 10
)

// defects switches off parts of the protocol, for tests that show that the
// invariants depend on them.
type defects struct {
	witnessIgnoresEpoch bool // the witness records claims of closed epochs
	homeIgnoresEpoch    bool // the home starts jobs in closed epochs
	askAnyEarlierWhole  bool // takeover asks the members of every earlier epoch at once
	skipEpoch           bool // takeover passes over the latest earlier epoch
	guessLoss           bool // takeover takes lost members for gone
	unconfirmedEnding   bool // the home answers with endings of other runners without its witness
	vowWithoutPromise   bool // a runner answers queries without a promise
	ignoreBody          bool // asks with another body are taken for the same
	waitForever         bool // asks that can't be decided are never denied
}

func (o *Options) setDefaults() {
	setDefault(&o.Retention, DefaultRetention)
	setDefault(&o.ClockBound, DefaultClockBound)
	setDefault(&o.ClaimTimeout, DefaultClaimTimeout)
	setDefault(&o.RetryAfter, DefaultRetryAfter)
	setDefault(&o.Resend, DefaultResend)
	setDefault(&o.MaxRecords, DefaultMaxRecords)
	setDefault(&o.MaxEndings, DefaultMaxEndings)
	setDefault(&o.MaxAsks, DefaultMaxAsks)
	setDefault(&o.PageRecords, DefaultPageRecords)
	setDefault(&o.PageBytes, DefaultPageBytes)
	setDefault(&o.SmallEnding, DefaultSmallEnding)
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}
