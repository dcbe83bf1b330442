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

// attempts is the state of the attempts at one request.
type attempts struct {
	*Writer
	request profilekeeper.Request
	jitter  *rand.Rand
	current *platformcaller.Value // what the store last showed; nil: to be read
	// unsettled says that a write at the revision lostAt may have taken effect
	// or may yet do so.
	unsettled bool
	lostAt    platformcaller.Revision
}

// run makes attempts until one settles the request.
func (a *attempts) run(ctx context.Context) (accepted profilekeeper.Accepted, err error) {
	for n := range maxAttempts {
		if n > 0 && !a.pause(ctx, n) {
			break
		}
		accepted, err = a.attempt(ctx)
		if !a.mayRetry(err) {
			return accepted, err
		}
	}
	if a.unsettled {
		return profilekeeper.Accepted{}, &OutcomeUnknownError{ID: a.request.ID}
	}
	return profilekeeper.Accepted{}, &NotMadeError{Detail: err.Error()}
}

// mayRetry reports whether another attempt may settle the request. While a
// write is unsettled no failure of the store is an answer.
func (a *attempts) mayRetry(err error) bool {
	var conflict *platformcaller.ConflictError
	var unknown *platformcaller.OutcomeUnknownError
	var unavailable *platformcaller.UnavailableError
	switch {
	case errors.As(err, &conflict), errors.As(err, &unknown):
		return true
	case errors.As(err, &unavailable):
		return a.unsettled
	}
	return false
}

// attempt reads the book if need be, and writes it with the request applied.
func (a *attempts) attempt(ctx context.Context) (accepted profilekeeper.Accepted, err error) {
	book, revision, err := a.read(ctx)
	if err != nil {
		return accepted, a.notMade(err)
	}
	accepted, known, err := book.Settle(a.request)
	if known {
		return accepted, err
	}
	if a.unsettled && revision != a.lostAt {
		a.unsettled = false // the key moved on without the write, which can't take effect any more
	}
	next, accepted, err := book.Apply(a.request)
	if err != nil {
		return accepted, err
	}
	_, err = a.opts.Store.Swap(ctx, profilekeeper.Key, revision, profilekeeper.Encode(next))
	if err != nil {
		return accepted, a.lost(revision, err)
	}
	a.opts.Written(next)
	return accepted, nil
}

// lost notes what a failed write leaves behind.
func (a *attempts) lost(revision platformcaller.Revision, err error) error {
	a.current = nil
	var conflict *platformcaller.ConflictError
	var unknown *platformcaller.OutcomeUnknownError
	switch {
	case errors.As(err, &conflict):
		a.current = &conflict.Current
	case errors.As(err, &unknown):
		a.unsettled, a.lostAt = true, revision
	default:
		return a.notMade(err)
	}
	return err
}

// notMade turns an error of the store into the answer that nothing was changed,
// unless an earlier write may have taken effect.
func (a *attempts) notMade(err error) error {
	if a.unsettled {
		return err
	}
	return &NotMadeError{Detail: err.Error()}
}

// read returns the book to change and the revision that it replaces. That is
// the store's, unless the store has gone back behind the book in force.
func (a *attempts) read(ctx context.Context) (book profilekeeper.Book, revision platformcaller.Revision, err error) {
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
	if known := a.opts.Known(); known.Version > book.Version {
		return known, revision, nil
	}
	a.opts.Written(book)
	return book, revision, nil
}

// pause waits before the attempt n, longer each time. It reports false when
// the request's time is up.
func (a *attempts) pause(ctx context.Context, n int) bool {
	d := min(maxBackoff, firstBackoff<<(n-1))
	return sleeper.Sleep(ctx, d/2+time.Duration(a.jitter.Int64N(int64(d/2)))) == nil
}
