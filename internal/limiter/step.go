package limiter

import "time"

// Step applies an event and returns what follows from it.
func (l *Limiter) Step(_ time.Time, e Event) []Effect {
	switch e := e.(type) {
	case MembersSet:
		l.members = max(1, len(e.Members))
	case Tick:
		if len(l.lanes) > l.opts.MaxLanes/2 {
			l.forgetIdle()
		}
		if l.queued > 0 {
			return []Effect{QuotaFreed{}}
		}
	}
	return nil
}
