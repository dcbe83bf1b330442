package repeater

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// EncodeServers returns the list of backend servers in the form that VMs send
// each other.
func EncodeServers(servers []Server) (data []byte, err error) {
	defer func() { err = errors.Wrapf(err, "encoding %d backend servers", len(servers)) }()
	return cbor.Marshal(servers)
}

// DecodeServers returns the list that EncodeServers encoded.
func DecodeServers(data []byte) (servers []Server, err error) {
	defer func() { err = errors.Wrap(err, "decoding backend servers") }()
	if err := cbor.Unmarshal(data, &servers); err != nil {
		return nil, err
	}
	return servers, nil
}

// changeServers replaces the list of backend servers unless the new one is
// older.
func (m *Machine) changeServers(e ServersChanged) {
	if e.Revision < m.serversRevision {
		return
	}
	m.serversRevision = e.Revision
	if m.sameServers(e.Servers) {
		return // only heartbeats in the store have raised the revision
	}
	next := make(map[identifier.BackendID]Server, len(e.Servers))
	for _, s := range e.Servers {
		next[s.ID] = s
		if was, ok := m.servers[s.ID]; !ok || was != s {
			m.logDecision("serverListed", "backend", s.ID, "pool", s.Pool, "leaving", s.Leaving, "revision", e.Revision)
		}
	}
	for id := range m.servers {
		if _, ok := next[id]; !ok {
			delete(m.paces, id)
			m.logDecision("serverUnlisted", "backend", id, "revision", e.Revision)
		}
	}
	m.servers = next
	m.serverIDs = slices.Sorted(maps.Keys(next))
	domains := make(map[identifier.FailureDomain]bool)
	for _, s := range next {
		domains[s.Domain] = true
	}
	m.serverDomains = slices.Sorted(maps.Keys(domains))
	m.updateEvacuatedPools()
	for id, o := range m.owned {
		if s, ok := next[id]; ok {
			o.Server = s
			o.listed = true
			m.markEvacuated(o)
			o.trackWarmup(m.now)
			continue
		}
		o.listed = false
	}
	m.assignmentInput.stale = true
	m.reportChanged = true
}

// sameServers reports whether a list equals the current one.
func (m *Machine) sameServers(servers []Server) bool {
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
