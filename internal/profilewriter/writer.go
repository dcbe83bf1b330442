// Package profilewriter makes operators' changes to the book of profiles in the
// platform's store.
//
// A request is accepted once its write took effect, and only then. A write whose
// answer was lost is settled by looking for the request's id in the book.
package profilewriter

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/platformcaller"
	"github.com/peppertrack/peppertrack/internal/profilekeeper"
)

// Bounds of the attempts at one request.
const (
	maxAttempts  = 8
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
)

// Options configure a Writer.
type Options struct {
	Store platformcaller.Store
	// Known returns the book in force on this VM. A store that has gone back
	// behind it is brought forward by the next change.
	Known func() profilekeeper.Book
	// Written is called with each book that was read from the store or written
	// to it. It must not block.
	Written func(profilekeeper.Book)
	Seed    uint64 // of the jitter
}

// Writer makes changes, one after the other. Its methods may be called by
// several goroutines.
type Writer struct {
	opts Options
	turn chan *rand.Rand // holds the jitter's source for whoever's turn it is
}

// New returns a Writer.
func New(opts Options) *Writer {
	w := &Writer{opts: opts, turn: make(chan *rand.Rand, 1)}
	w.turn <- rand.New(rand.NewPCG(opts.Seed, 1))
	return w
}

// Write applies a request to the book in the store. Its errors are those of
// Book.Apply, *NotMadeError and *OutcomeUnknownError.
func (w *Writer) Write(ctx context.Context, r profilekeeper.Request) (accepted profilekeeper.Accepted, err error) {
	defer func() { err = errors.Wrapf(err, "change %s", r.ID) }()
	select {
	case jitter := <-w.turn:
		defer func() { w.turn <- jitter }()
		return (&attempts{Writer: w, request: r, jitter: jitter}).run(ctx)
	case <-ctx.Done():
		return accepted, &NotMadeError{Detail: "other changes were being made: " + ctx.Err().Error()}
	}
}
