package dispatcher

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// requester is who gets the answer to a request: a localCaller or a peerCaller.
type requester interface{ isRequester() }

// localCaller waits on a connection to this entry VM.
type localCaller struct{ request RequestID }

// peerCaller waits on a connection to another entry VM, which forwarded the request.
type peerCaller struct {
	member identifier.Member
	number peermessenger.RequestNumber
}

// doubtfulCaller is a requester whose request was sent to a peer more than once,
// so that an earlier copy may still be on its way to a home.
type doubtfulCaller struct{ requester requester }

func (localCaller) isRequester()    {}
func (peerCaller) isRequester()     {}
func (doubtfulCaller) isRequester() {}

// doubtful marks a requester whose request is sent once more.
func doubtful(r requester) requester {
	if _, ok := r.(doubtfulCaller); ok {
		return r
	}
	return doubtfulCaller{r}
}

// isFrom reports whether a requester is, or stands for, the given one.
func isFrom(r, origin requester) bool {
	if d, ok := r.(doubtfulCaller); ok {
		r = d.requester
	}
	return r == origin
}

// withDoubt returns what may be told while a copy of the request may be on its
// way: a refusal would say that nothing of the submission starts.
func withDoubt(status declarer.Status) declarer.Status {
	refused, ok := status.Ending.(declarer.Refused)
	if !ok {
		return status
	}
	status.Ending = declarer.Unverifiable{
		Cause:      declarer.HomeUnreachable,
		Detail:     "refused as " + string(refused.Cause) + ": " + refused.Detail + "; the request was sent more than once, and an earlier copy may still start",
		RetryAfter: max(refused.RetryAfter, unreachableRetryAfter),
	}
	return status
}

// waiter is a requester that waits for the ending of a job, or for its admission.
type waiter struct {
	requester requester
	until     time.Time // zero: as long as it takes
	ending    bool      // false: waits for the admission alone
}

// reply answers a requester.
func (m *Machine) reply(r requester, status declarer.Status) {
	switch r := r.(type) {
	case localCaller:
		m.emit(Reply{Request: r.request, Status: status})
	case doubtfulCaller:
		m.reply(r.requester, withDoubt(status))
	case peerCaller:
		m.emit(Send{To: r.member, Message: peermessenger.NewJobReply(r.number, status)})
	}
}

// replyEnding answers a requester with an ending.
func (m *Machine) replyEnding(r requester, ending declarer.Ending) {
	m.reply(r, declarer.Status{Known: true, Ending: ending})
}
