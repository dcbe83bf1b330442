package profilekeeper

import "time"

// callStore starts a call of the store if one is due.
func (k *Keeper) callStore(now time.Time) {
	w := &k.watch
	if !w.wanted || w.calling || now.Before(w.nextCall) {
		return
	}
	w.calling = true
	k.counters.StoreCalls++
	if w.healthy {
		k.do(WatchBook{After: w.revision})
	} else {
		k.do(ReadBook{})
	}
}

func (k *Keeper) onBookRead(now time.Time, e BookRead) {
	if !k.watch.calling {
		return // the answer of a call that was stopped
	}
	k.watch.calling = false
	k.watch.healthy = true
	k.watch.failures = 0
	k.watch.revision = e.Revision
	k.watch.nextCall = now.Add(minReadInterval)
	k.take(now, e.Book)
}

func (k *Keeper) onBookWritten(now time.Time, e BookWritten) { k.take(now, e.Book) }

// take adopts a book of the store and passes it on.
func (k *Keeper) take(now time.Time, b Book) {
	if b.Version < k.book.Version {
		k.counters.StaleReads++
		return
	}
	before := k.book
	if !k.adopt(b) && b.Chain != k.book.Chain {
		return
	}
	k.verified(now, 0)
	if k.book.Version != before.Version {
		k.forward(now, before)
	}
}

func (k *Keeper) onStoreFailed(now time.Time) {
	w := &k.watch
	if !w.calling {
		return
	}
	w.calling = false
	w.healthy = false
	w.failures++
	k.counters.StoreFails++
	w.nextCall = now.Add(k.backoff(w.failures))
}

// backoff returns how long to leave the store alone after failures in a row.
func (k *Keeper) backoff(failures int) time.Duration {
	longest := maxBackoff
	if k.rank == 0 {
		longest = maxFirstBackoff
	}
	d := firstBackoff
	for i := 1; i < failures && d < longest; i++ {
		d *= 2
	}
	d = min(d, longest)
	return d/2 + k.jitter(d/2)
}
