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

func (localCaller) isRequester() {}
func (peerCaller) isRequester()  {}

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
	case peerCaller:
		m.emit(Send{To: r.member, Message: peermessenger.NewJobReply(r.number, status)})
	}
}

// replyEnding answers a requester with an ending.
func (m *Machine) replyEnding(r requester, ending declarer.Ending) {
	m.reply(r, declarer.Status{Known: true, Ending: ending})
}
