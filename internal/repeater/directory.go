package repeater

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/router"
)

// EncodeServers returns the form in which VMs hand the list of backend servers
// to each other.
func EncodeServers(servers []Server) (data []byte, err error) {
	defer func() { err = errors.Wrapf(err, "encoding %d backend servers", len(servers)) }()
	return cbor.Marshal(servers)
}

// DecodeServers reads what EncodeServers returned.
func DecodeServers(data []byte) (servers []Server, err error) {
	defer func() { err = errors.Wrap(err, "decoding backend servers") }()
	if err := cbor.Unmarshal(data, &servers); err != nil {
		return nil, err
	}
	return servers, nil
}

// changeRoutes puts a table in force unless a later one is.
func (m *Machine) changeRoutes(t *router.Table) {
	if m.routes != nil && t.Version <= m.routes.Version {
		return
	}
	m.routes = t
	m.routesChangedAt = m.now
	m.reportDirty = true
	m.record("routesInForce", "version", t.Version, "routes", len(t.Routes))
}

// changeServers takes over a list of backend servers.
func (m *Machine) changeServers(e ServersChanged) {
	if e.Revision < m.serversRevision {
		return
	}
	m.serversRevision = e.Revision
	if m.listed(e.Servers) {
		return // their writers' heartbeats alone
	}
	next := make(map[identifier.BackendID]Server, len(e.Servers))
	for _, s := range e.Servers {
		next[s.ID] = s
		if was, ok := m.servers[s.ID]; !ok || was != s {
			m.record("serverListed", "backend", s.ID, "pool", s.Pool, "leaving", s.Leaving, "revision", e.Revision)
		}
	}
	for id := range m.servers {
		if _, ok := next[id]; !ok {
			m.record("serverUnlisted", "backend", id, "revision", e.Revision)
		}
	}
	m.servers = next
	m.serverIDs = slices.Sorted(maps.Keys(next))
	for id, o := range m.owned {
		if s, ok := next[id]; ok {
			o.Server = s
			o.listed = true
			continue
		}
		o.listed = false
	}
	m.assignment.stale = true
	m.reportDirty = true
}

// listed reports whether a list is the one that is known.
func (m *Machine) listed(servers []Server) bool {
	if len(servers) != len(m.servers) {
		return false
	}
	for _, s := range servers {
		if known, ok := m.servers[s.ID]; !ok || known != s {
			return false
		}
	}
	return true
}

func (m *Machine) serverList() []Server {
	list := make([]Server, 0, len(m.serverIDs))
	for _, id := range m.serverIDs {
		list = append(list, m.servers[id])
	}
	return list
}
