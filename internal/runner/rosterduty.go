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

// rosterDuty owns the machine that keeps the failure domain's roster.
type rosterDuty struct {
	ring     ring[enroller.Event]
	machine  *enroller.Enroller
	store    platformcaller.Store
	key      string
	timeout  time.Duration
	send     func(enroller.Send)
	connect  func(address string)
	adopt    func(*enroller.Roster)
	dispatch ring[dispatcher.Event]
	calls    sync.WaitGroup // of the store
}

// run steps the machine until the context ends, and waits for the store's calls.
func (d *rosterDuty) run(ctx context.Context) error {
	defer d.calls.Wait()
	ticker := time.NewTicker(controlTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.step(ctx, enroller.Tick{})
		case e := <-d.ring.events:
			d.step(ctx, e)
		}
	}
}

func (d *rosterDuty) step(ctx context.Context, e enroller.Event) {
	for _, effect := range d.machine.Step(time.Now(), e) {
		switch effect := effect.(type) {
		case enroller.Send:
			d.send(effect)
		case enroller.ReadRoster:
			d.calls.Go(func() { d.read(ctx) })
		case enroller.SwapRoster:
			d.calls.Go(func() { d.swap(ctx, effect) })
		case enroller.Adopted:
			d.adopted(effect.Roster)
		case enroller.MemberGone:
			d.dispatch.put(dispatcher.MemberGone{Member: effect.Member})
		}
	}
}

func (d *rosterDuty) adopted(roster *enroller.Roster) {
	for _, member := range roster.Members {
		d.connect(member.Address)
	}
	d.adopt(roster)
	d.dispatch.put(dispatcher.RosterAdopted{Roster: roster})
}

// read answers ReadRoster.
func (d *rosterDuty) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	roster, revision, err := readRoster(ctx, d.store, d.key)
	if err != nil {
		d.ring.put(enroller.StoreFailed{})
		return
	}
	d.ring.put(enroller.RosterRead{Roster: roster, Revision: revision})
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

// swap answers SwapRoster.
func (d *rosterDuty) swap(ctx context.Context, s enroller.SwapRoster) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	data, err := enroller.EncodeRoster(s.Roster)
	if err != nil {
		d.ring.put(enroller.StoreFailed{})
		return
	}
	_, err = d.store.Swap(ctx, d.key, platformcaller.Revision(s.Expected), data)
	d.ring.put(swapOutcome(err))
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
