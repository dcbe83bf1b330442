package dispatcher

import "time"

// checkProfiles asks the store whether the profiles of before a pause are still in
// force. Until it answers, jobs are refused rather than judged by them.
func (m *Machine) checkProfiles(now time.Time) {
	m.resumedAt = now
	m.profilesOutdated = true
	m.opts.Counters.Pauses.Add(1)
	m.emit(ReadProfiles{})
}

// confirmProfiles ends the check if the read of the store began after the pause.
func (m *Machine) confirmProfiles(asOf time.Time) {
	if !asOf.Before(m.resumedAt) {
		m.profilesOutdated = false
	}
}

// tickProfilesCheck gives up the wait for the store, and goes on with the known
// profiles, as in any outage of the store.
func (m *Machine) tickProfilesCheck(now time.Time) {
	if now.Sub(m.resumedAt) >= profilesCheckTime {
		m.profilesOutdated = false
	}
}
