package repeater

import (
	"slices"
	"time"
)

// serverListTrust is how long this VM may start runs on unguarded servers by a list that
// the store has not confirmed meanwhile, if the store serves others. It is below the time
// for which a capacity that a server has reduced still counts.
const serverListTrust = 3 * time.Second

// knowsCapacity reports whether this VM knows the capacity that a server has reported. That
// matters only for servers that start what they are told to, also beyond their capacity.
func (m *Machine) knowsCapacity(o *ownedServer) bool {
	if m.routes == nil || !slices.Contains(m.routes.Unguarded, o.Pool) {
		return true
	}
	if o.Generation != 0 && o.generation > o.Generation {
		return false // its new process has not registered yet
	}
	return !m.serverListOutdated()
}

// serverListOutdated reports whether the store has confirmed this VM's list of servers too
// long ago, and another VM's since, even if that VM is lost by now.
func (m *Machine) serverListOutdated() bool {
	asOf := later(m.serversAsOf, m.started)
	return m.now.Sub(asOf) > serverListTrust && m.peersServersAsOf.Sub(asOf) > serverListTrust/2
}
