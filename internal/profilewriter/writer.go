// Package profilewriter applies operators' requests to the book of profiles in the
// key-value service of package platformcaller, the store.
//
// A request is accepted if and only if its write took effect. If the answer to a
// write is lost, the next attempt looks for the request's id in the book.
package profilewriter

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/platformcaller"
	"github.com/peppertrack/peppertrack/internal/profilekeeper"
)

// Limits of the attempts at one request.
const (
	maxAttempts    = 8
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
)

// Options configures a Writer.
type Options struct {
	Store platformcaller.Store
	// CurrentBook returns the book in force on this VM. If the store has an older
	// book, the next request is applied to the current one and overwrites it.
	CurrentBook func() profilekeeper.Book
	// BookSeen is called with each book read from the store, unless it is older
	// than the current one, and with each book written to it. It must not block.
	BookSeen func(profilekeeper.Book)
	Seed     uint64 // of the backoff jitter
}

// Writer applies one request at a time. Its methods are safe for concurrent use.
type Writer struct {
	opts         Options
	jitterSource chan *rand.Rand // holds the source of the jitter; the Write that has taken it has the lock
}

// New returns a Writer.
func New(opts Options) *Writer {
	w := &Writer{opts: opts, jitterSource: make(chan *rand.Rand, 1)}
	w.jitterSource <- rand.New(rand.NewPCG(opts.Seed, 1))
	return w
}

// Write applies a request to the book in the store. It returns the errors of
// Book.Apply, *NotMadeError or *OutcomeUnknownError.
func (w *Writer) Write(ctx context.Context, r profilekeeper.Request) (accepted profilekeeper.Acceptance, err error) {
	defer func() { err = errors.Wrapf(err, "change %s", r.ID) }()
	select {
	case jitter := <-w.jitterSource:
		defer func() { w.jitterSource <- jitter }()
		return (&attempts{Writer: w, request: r, jitter: jitter}).run(ctx)
	case <-ctx.Done():
		return accepted, &NotMadeError{Detail: "other changes were being made: " + ctx.Err().Error()}
	}
}
