package profilewriter

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/platformcaller"
	"github.com/peppertrack/peppertrack/internal/profilekeeper"
	"github.com/peppertrack/peppertrack/internal/sleeper"
)

// attempts holds the state of the attempts at one request.
type attempts struct {
	*Writer
	request profilekeeper.Request
	jitter  *rand.Rand
	current *platformcaller.Value // the last value read from the store; nil if it must be read again
	// outcomeUnknown is set while a write that expected the revision unknownAt
	// may have taken effect or may still do so.
	outcomeUnknown bool
	unknownAt      platformcaller.Revision
}

// run makes attempts until one gives a final answer, up to maxAttempts.
func (a *attempts) run(ctx context.Context) (accepted profilekeeper.Acceptance, err error) {
	for n := range maxAttempts {
		if n > 0 && !a.waitBackoff(ctx, n) {
			break
		}
		accepted, err = a.attempt(ctx)
		if !a.mayRetry(err) {
			return accepted, err
		}
	}
	if a.outcomeUnknown {
		return profilekeeper.Acceptance{}, &OutcomeUnknownError{ID: a.request.ID}
	}
	return profilekeeper.Acceptance{}, &NotMadeError{Detail: err.Error()}
}

// mayRetry reports whether to make another attempt. While the outcome of a write is
// unknown, an unavailable store is no final answer.
func (a *attempts) mayRetry(err error) bool {
	var conflict *platformcaller.ConflictError
	var unknown *platformcaller.OutcomeUnknownError
	var unavailable *platformcaller.UnavailableError
	switch {
	case errors.As(err, &conflict), errors.As(err, &unknown):
		return true
	case errors.As(err, &unavailable):
		return a.outcomeUnknown
	}
	return false
}

// attempt reads the book if necessary, and writes it with the request applied.
func (a *attempts) attempt(ctx context.Context) (accepted profilekeeper.Acceptance, err error) {
	book, revision, err := a.readBook(ctx)
	if err != nil {
		return accepted, a.asNotMade(err)
	}
	accepted, applied, err := book.AppliedRequest(a.request)
	if applied {
		return accepted, err
	}
	if a.outcomeUnknown && revision != a.unknownAt {
		a.outcomeUnknown = false // the revision has changed and the book lacks the request, so the write, which expected unknownAt, can no longer take effect
	}
	next, accepted, err := book.Apply(a.request)
	if err != nil {
		return accepted, err
	}
	_, err = a.opts.Store.CompareAndSwap(ctx, profilekeeper.Key, revision, profilekeeper.Encode(next))
	if err != nil {
		return accepted, a.recordFailedWrite(revision, err)
	}
	a.opts.BookSeen(next)
	return accepted, nil
}

// recordFailedWrite updates the state for the next attempt after a failed write,
// and returns the error of this attempt.
func (a *attempts) recordFailedWrite(revision platformcaller.Revision, err error) error {
	a.current = nil
	var conflict *platformcaller.ConflictError
	var unknown *platformcaller.OutcomeUnknownError
	switch {
	case errors.As(err, &conflict):
		a.current = &conflict.Current
	case errors.As(err, &unknown):
		a.outcomeUnknown, a.unknownAt = true, revision
	default:
		return a.asNotMade(err)
	}
	return err
}

// asNotMade converts a store error to *NotMadeError, unless the outcome of an
// earlier write is unknown.
func (a *attempts) asNotMade(err error) error {
	if a.outcomeUnknown {
		return err
	}
	return &NotMadeError{Detail: err.Error()}
}

// readBook returns the book to change and the store revision to replace. The book
// is the store's, unless the book in force on this VM is newer.
func (a *attempts) readBook(ctx context.Context) (book profilekeeper.Book, revision platformcaller.Revision, err error) {
	if a.current == nil {
		value, err := a.opts.Store.Get(ctx, profilekeeper.Key)
		if err != nil {
			return book, 0, err
		}
		a.current = &value
	}
	book, err = profilekeeper.Decode(a.current.Data)
	if err != nil {
		return book, 0, err
	}
	revision = a.current.Revision
	if inForce := a.opts.CurrentBook(); inForce.Version > book.Version {
		return inForce, revision, nil
	}
	a.opts.BookSeen(book)
	return book, revision, nil
}

// waitBackoff waits before attempt n, with exponential backoff. It reports false if
// ctx ends first.
func (a *attempts) waitBackoff(ctx context.Context, n int) bool {
	d := min(maxBackoff, initialBackoff<<(n-1))
	return sleeper.Sleep(ctx, d/2+time.Duration(a.jitter.Int64N(int64(d/2)))) == nil
}
