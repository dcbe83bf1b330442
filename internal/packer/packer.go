// Package packer chooses the backend server for a task. It answers the load of
// tasks that each take a large part of a server, of which only some pairs fit
// together.
package packer

import (
	"slices"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Server is a backend server that takes work.
type Server struct {
	ID       identifier.BackendID
	Capacity identifier.Millicores
	Free     identifier.Millicores
	FreeMem  identifier.Mebibytes
	Remote   bool    // in another failure domain
	Peer     bool    // ordered about by another VM
	Slowness float64 // run times on it against the fleet's; 1 is usual
}

// Demand is what a task needs.
type Demand struct {
	Cores  identifier.Millicores
	Memory identifier.Mebibytes
}

// Fits reports whether the task has room on the server now.
func (s Server) Fits(d Demand) bool { return s.Free >= d.Cores && s.FreeMem >= d.Memory }

// slownessWeight is how many millicores of waste a server may leave to be
// preferred over one that takes twice as long: half of a usual server.
const slownessWeight = 16000

// remoteCost is how many millicores of waste a server may leave to be preferred
// over one in another failure domain: an eighth of a usual server.
const remoteCost = 4000

// peerCost is how many millicores of waste a server may leave to be preferred
// over one that another VM orders about: half of a usual server, so that jobs stay
// on their VM while there is room.
const peerCost = 16000

// Pick returns the index of the server that the task fits best: the one that it
// leaves the least unused, preferably a fast and a near one. It returns -1 when it
// fits none but servers to avoid.
func Pick(servers []Server, d Demand, avoid []identifier.BackendID) int {
	best, bestCost := -1, 0.0
	for i, s := range servers {
		if !s.Fits(d) || slices.Contains(avoid, s.ID) {
			continue
		}
		cost := float64(s.Free-d.Cores) + slownessWeight*(s.Slowness-1)
		if s.Remote {
			cost += remoteCost
		}
		if s.Peer {
			cost += peerCost
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}
