package runner

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/dispatcher"
	"github.com/peppertrack/peppertrack/internal/enroller"
	"github.com/peppertrack/peppertrack/internal/platformcaller"
)

// rosterLoop owns the machine that maintains the failure domain's roster.
type rosterLoop struct {
	queue         eventQueue[enroller.Event]
	machine       *enroller.Enroller
	store         platformcaller.Store
	key           string
	timeout       time.Duration
	send          func(enroller.Send)
	connect       func(address string)
	adopt         func(*enroller.Roster)
	dispatchQueue eventQueue[dispatcher.Event]
	calls         sync.WaitGroup // to the store
}

// run steps the machine until the context ends, then waits for the calls to the
// store.
func (l *rosterLoop) run(ctx context.Context) error {
	defer l.calls.Wait()
	ticker := time.NewTicker(rosterTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			l.step(ctx, enroller.Tick{})
		case e := <-l.queue.events:
			l.step(ctx, e)
		}
	}
}

func (l *rosterLoop) step(ctx context.Context, e enroller.Event) {
	for _, effect := range l.machine.Step(time.Now(), e) {
		switch effect := effect.(type) {
		case enroller.Send:
			l.send(effect)
		case enroller.ReadRoster:
			l.calls.Go(func() { l.read(ctx) })
		case enroller.SwapRoster:
			l.calls.Go(func() { l.swap(ctx, effect) })
		case enroller.RosterAdopted:
			l.adoptRoster(effect.Roster)
		case enroller.MemberTerminated:
			l.dispatchQueue.put(dispatcher.MemberTerminated{Member: effect.Member})
		}
	}
}

func (l *rosterLoop) adoptRoster(roster *enroller.Roster) {
	for _, member := range roster.Members {
		l.connect(member.Address)
	}
	l.adopt(roster)
	l.dispatchQueue.put(dispatcher.RosterAdopted{Roster: roster})
}

// read carries out a ReadRoster and queues its outcome as an event.
func (l *rosterLoop) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	roster, revision, err := readRoster(ctx, l.store, l.key)
	if err != nil {
		l.queue.put(enroller.StoreFailed{})
		return
	}
	l.queue.put(enroller.RosterRead{Roster: roster, Revision: revision})
}

// readRoster returns the roster at a key; nil when there is none.
func readRoster(ctx context.Context, store platformcaller.Store, key string) (roster *enroller.Roster, revision enroller.Revision, err error) {
	defer func() { err = errors.Wrapf(err, "reading %s", key) }()
	value, err := store.Get(ctx, key)
	if err != nil {
		return nil, 0, err
	}
	if value.Revision == 0 {
		return nil, 0, nil
	}
	roster, err = enroller.DecodeRoster(value.Data)
	return roster, enroller.Revision(value.Revision), err
}

// swap carries out a SwapRoster and queues its outcome as an event.
func (l *rosterLoop) swap(ctx context.Context, s enroller.SwapRoster) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	data, err := enroller.EncodeRoster(s.Roster)
	if err != nil {
		l.queue.put(enroller.StoreFailed{})
		return
	}
	_, err = l.store.CompareAndSwap(ctx, l.key, platformcaller.Revision(s.Expected), data)
	l.queue.put(swapOutcome(err))
}

func swapOutcome(err error) enroller.Event {
	var conflict *platformcaller.ConflictError
	var unavailable *platformcaller.UnavailableError
	switch {
	case err == nil:
		return enroller.SwapSucceeded{}
	case errors.As(err, &conflict):
		return enroller.SwapConflict{}
	case errors.As(err, &unavailable):
		return enroller.StoreFailed{}
	default:
		return enroller.SwapUnknown{}
	}
}
