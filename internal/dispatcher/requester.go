package dispatcher

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// requester is the recipient of the answer to a request.
type requester interface{ isRequester() }

// localCaller waits on a connection to this entry VM.
type localCaller struct{ request RequestID }

// peerCaller waits on a connection to another entry VM, which forwarded the request.
type peerCaller struct {
	member identifier.Member
	number peermessenger.RequestNumber
}

// resentCaller wraps a requester whose request was sent to a peer more than once,
// so that an earlier copy may still be on its way to a home.
type resentCaller struct{ requester requester }

func (localCaller) isRequester()  {}
func (peerCaller) isRequester()   {}
func (resentCaller) isRequester() {}

// asResent marks a requester whose request is sent again.
func asResent(r requester) requester {
	if _, ok := r.(resentCaller); ok {
		return r
	}
	return resentCaller{r}
}

// isSameCaller reports whether a requester is the given one or wraps it.
func isSameCaller(r, origin requester) bool {
	if resent, ok := r.(resentCaller); ok {
		r = resent.requester
	}
	return r == origin
}

// unverifiableIfRefused turns a refusal into an unverifiable ending: a refusal would
// promise that nothing of the submission starts, while an earlier copy of the
// request may still start it.
func unverifiableIfRefused(status declarer.Status) declarer.Status {
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
	until     time.Time // zero: no bound
	forEnding bool      // false: waits only for the admission
}

// reply answers a requester.
func (m *Machine) reply(r requester, status declarer.Status) {
	switch r := r.(type) {
	case localCaller:
		m.emit(Reply{Request: r.request, Status: status})
	case resentCaller:
		m.reply(r.requester, unverifiableIfRefused(status))
	case peerCaller:
		m.emit(Send{To: r.member, Message: peermessenger.NewJobReply(r.number, status)})
	}
}

// replyEnding answers a requester with an ending.
func (m *Machine) replyEnding(r requester, ending declarer.Ending) {
	m.reply(r, declarer.Status{Known: true, Ending: ending})
}
