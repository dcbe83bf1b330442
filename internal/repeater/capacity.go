package repeater

import (
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// serverListTrust is how long this VM may start runs on unguarded servers by a list that
// the store has not confirmed meanwhile, if the store serves others. It is below the time
// for which a capacity that a server has reduced still counts.
const serverListTrust = 3 * time.Second

// knowsCapacity reports whether this VM knows the capacity that a server has reported. That
// matters only for servers that start what they are told to, also beyond their capacity.
func (m *Machine) knowsCapacity(o *ownedServer) bool {
	if !m.unguarded(o.Pool) {
		return true
	}
	if o.Generation != 0 && o.generation > o.Generation {
		return false // its new process has not registered yet
	}
	if o.listsLaterProcess() {
		return false // it has forgotten the tokens, so that another VM may start runs there, too
	}
	return !m.serverListOutdated()
}

// serverListOutdated reports whether the store has confirmed this VM's list of servers too
// long ago, and another VM's since, even if that VM is lost by now.
func (m *Machine) serverListOutdated() bool {
	asOf := later(m.serversAsOf, m.started)
	return m.now.Sub(asOf) > serverListTrust && m.peersServersAsOf.Sub(asOf) > serverListTrust/2
}

// unguarded reports whether the servers of a pool start what they are told to, also beyond
// their capacity.
func (m *Machine) unguarded(pool identifier.PoolID) bool {
	return m.routes != nil && slices.Contains(m.routes.Unguarded, pool)
}

// listsLaterProcess reports whether the store lists a later process of a server than the one
// that has answered this VM last.
func (o *ownedServer) listsLaterProcess() bool {
	return o.generation != 0 && o.Generation > o.generation
}
