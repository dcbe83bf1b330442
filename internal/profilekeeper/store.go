package profilekeeper

import "time"

// startStoreCall starts a store call if one is due.
func (k *Keeper) startStoreCall(now time.Time) {
	w := &k.watch
	if !w.elected || w.callPending || now.Before(w.nextCall) {
		return
	}
	w.callPending = true
	k.counters.StoreCalls++
	if w.healthy {
		k.emit(WatchBook{After: w.revision})
	} else {
		k.emit(ReadBook{})
	}
}

// verify reads the book in the store, in place of a call in progress.
func (k *Keeper) verify(now time.Time) {
	if k.watch.callPending {
		k.emit(CancelStoreCall{})
	}
	k.watch.callPending = true
	k.watch.verifyingAt = now
	k.counters.StoreCalls++
	k.emit(ReadBook{})
}

func (k *Keeper) onBookRead(now time.Time, e BookRead) {
	if !k.watch.callPending {
		return // the call was cancelled
	}
	k.watch.callPending = false
	k.watch.healthy = k.watch.elected
	k.watch.failures = 0
	k.watch.revision = e.Revision
	k.watch.nextCall = now.Add(minStoreCallDelay)
	k.adoptFromStore(now, e.Book)
	k.endVerification(e.Book)
}

// endVerification reports that the store has confirmed the book in force, unless it
// answered with an older one.
func (k *Keeper) endVerification(read Book) {
	if !k.watch.verifyingAt.IsZero() && read.Version == k.book.Version {
		k.emit(BookConfirmed{AsOf: k.watch.verifyingAt})
	}
	k.watch.verifyingAt = time.Time{}
}

func (k *Keeper) onBookWritten(now time.Time, e BookWritten) { k.adoptFromStore(now, e.Book) }

// adoptFromStore adopts a book from the store if it is newer, and forwards the
// changes to this VM's failure domain.
func (k *Keeper) adoptFromStore(now time.Time, b Book) {
	if b.Version < k.book.Version {
		k.counters.StaleReads++
		return
	}
	before := k.book
	if !k.adopt(b) && b.Chain != k.book.Chain {
		return
	}
	k.updateConfirmedAt(now, 0)
	if k.book.Version != before.Version {
		k.forwardChanges(now, before)
	}
}

func (k *Keeper) onStoreFailed(now time.Time) {
	w := &k.watch
	if !w.callPending {
		return
	}
	w.callPending = false
	w.healthy = false
	w.verifyingAt = time.Time{}
	w.failures++
	k.counters.StoreFailures++
	w.nextCall = now.Add(k.backoff(w.failures))
}

// backoff returns the delay before the next store call after consecutive failures.
func (k *Keeper) backoff(failures int) time.Duration {
	longest := maxBackoff
	if k.rank == 0 {
		longest = maxBackoffRank0
	}
	d := initialBackoff
	for i := 1; i < failures && d < longest; i++ {
		d *= 2
	}
	d = min(d, longest)
	return d/2 + k.jitter(d/2)
}
