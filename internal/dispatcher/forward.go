package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// forward is a forwarded request that waits for the answer of a peer.
type forward struct {
	requester requester
	to        identifier.Member
	message   peermessenger.Message // without its number
	since     time.Time
	attempts  int
	sent      bool      // at least once
	resendAt  time.Time // zero: it was sent, and the peer is still linked
	until     time.Time
}

// forwardTo forwards a request to a peer: away from the home of its submission
// towards that home, and at the home to the VM that runs the job or, as the runner
// in the claim record, may know its ending.
func (m *Machine) forwardTo(now time.Time, r requester, to identifier.Member, hops uint8, message peermessenger.Message) {
	if hops >= maxHops || len(m.forwards) >= maxForwards {
		m.replyEnding(r, homeUnreachable("the request was forwarded too often"))
		return
	}
	m.opts.Counters.JobsForwarded.Add(1)
	m.lastNumber++
	f := &forward{requester: r, to: to, message: message, since: now, until: now.Add(m.forwardWait(message))}
	m.forwards[m.lastNumber] = f
	m.sendForward(now, m.lastNumber, f)
}

// forwardWait returns how long a request waits for a peer. A job waits until its
// deadline, from which on its home would refuse it, and forwardTimeout longer.
func (m *Machine) forwardWait(message peermessenger.Message) time.Duration {
	switch message := message.(type) {
	case peermessenger.SubmitJob:
		deadline := cmp.Or(message.Job.Deadline, m.profiles[message.Job.Profile].Deadline, assumedDeadline)
		return deadline + forwardTimeout
	case peermessenger.AttachJob:
		return message.Wait + forwardTimeout
	default:
		return forwardTimeout
	}
}

// sendForward sends a forwarded request, or schedules it for later when its peer
// is not linked.
func (m *Machine) sendForward(now time.Time, number peermessenger.RequestNumber, f *forward) {
	f.attempts++
	if _, up := m.peers[f.to]; !up {
		f.resendAt = now.Add(resendDelay)
		return
	}
	f.resendAt = time.Time{}
	f.sent = true
	m.emit(Send{To: f.to, Message: numbered(f.message, number)})
}

func numbered(message peermessenger.Message, number peermessenger.RequestNumber) peermessenger.Message {
	switch message := message.(type) {
	case peermessenger.SubmitJob:
		message.Number = number
		return message
	case peermessenger.AttachJob:
		message.Number = number
		return message
	case peermessenger.CancelJob:
		message.Number = number
		return message
	default:
		return message
	}
}

// relayReply relays a peer's answer to the requester.
func (m *Machine) relayReply(reply peermessenger.JobReply) {
	f, ok := m.forwards[reply.Number]
	if !ok {
		return
	}
	delete(m.forwards, reply.Number)
	m.reply(f.requester, reply.Status())
}

// scheduleResends schedules the requests that were forwarded to a peer whose link
// was lost to be sent again. That is safe: the home starts a submission only once,
// however often it receives it.
func (m *Machine) scheduleResends(now time.Time, member identifier.Member) {
	if m.opts.defects.dropForwards {
		return
	}
	for _, f := range m.forwards {
		if f.to == member && f.resendAt.IsZero() {
			f.resendAt = now.Add(resendDelay)
		}
	}
}

// retryForwards resends the forwarded requests that are due and fails those whose
// wait is over.
func (m *Machine) retryForwards(now time.Time) {
	for _, number := range m.sortedForwards() {
		f := m.forwards[number]
		switch {
		case now.After(f.until) && !m.opts.defects.dropForwards:
			m.failForward(now, number, f, "the home of the submission did not answer in time")
		case !f.resendAt.IsZero() && !now.Before(f.resendAt):
			m.resendForward(now, number, f)
		}
	}
}

// failForward answers a forwarded request when the home of its submission, or the
// VM that runs the job, can't be reached or doesn't answer in time.
func (m *Machine) failForward(now time.Time, number peermessenger.RequestNumber, f *forward, detail string) {
	delete(m.forwards, number)
	ending := homeUnreachable(detail)
	if submit, ok := f.message.(peermessenger.SubmitJob); ok {
		m.reportUnservedJob(submit.Job, now.Sub(f.since), ending)
	}
	m.replyEnding(f.requester, ending)
}

// resendForward sends a forwarded request again, possibly to another peer.
func (m *Machine) resendForward(now time.Time, number peermessenger.RequestNumber, f *forward) {
	if f.attempts >= maxForwardAttempts {
		m.failForward(now, number, f, "the home of the submission can't be reached")
		return
	}
	id, createdAt := submissionOf(f.message)
	next, denial := m.nextHop(id, createdAt)
	if f.sent {
		f.requester = asResent(f.requester)
	}
	switch {
	case denial != nil:
		f.attempts++
		f.resendAt = now.Add(resendDelay)
	case next == m.opts.Self:
		delete(m.forwards, number)
		m.serveAsHome(now, f)
	default:
		f.to = next
		m.sendForward(now, number, f)
	}
}

// serveAsHome handles a forwarded request whose home this entry VM has become.
func (m *Machine) serveAsHome(now time.Time, f *forward) {
	switch message := f.message.(type) {
	case peermessenger.SubmitJob:
		m.submit(now, f.requester, message.Job, message.Wait, message.Hops)
	case peermessenger.AttachJob:
		m.fetch(now, f.requester, fetchRequest{team: message.Team, submission: message.Submission, wait: message.Wait, hops: message.Hops})
	case peermessenger.CancelJob:
		m.cancel(now, f.requester, cancelRequest{team: message.Team, submission: message.Submission, hops: message.Hops})
	}
}

func submissionOf(message peermessenger.Message) (identifier.SubmissionID, time.Time) {
	switch message := message.(type) {
	case peermessenger.SubmitJob:
		return message.Job.Submission, message.Job.CreatedAt
	case peermessenger.AttachJob:
		return message.Submission, time.Time{}
	case peermessenger.CancelJob:
		return message.Submission, time.Time{}
	default:
		return "", time.Time{}
	}
}

// dropForward removes the forwarded request of a caller that has disconnected.
func (m *Machine) dropForward(r requester) {
	for number, f := range m.forwards {
		if isSameCaller(f.requester, r) {
			delete(m.forwards, number)
			return
		}
	}
}

func (m *Machine) sortedForwards() []peermessenger.RequestNumber {
	if len(m.forwards) == 0 {
		return nil
	}
	numbers := make([]peermessenger.RequestNumber, 0, len(m.forwards))
	for number := range m.forwards {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers
}

func homeUnreachable(detail string) declarer.Ending {
	return declarer.Unverifiable{
		Cause:      declarer.HomeUnreachable,
		Detail:     detail + "; an earlier attempt, or this one, may have started the job",
		RetryAfter: unreachableRetryAfter,
	}
}
