// Package packer chooses the backend server for a task by best fit, because each
// task takes a large part of a server and only some pairs of tasks fit together.
package packer

import (
	"slices"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Server is a backend server that accepts tasks.
type Server struct {
	ID                 identifier.BackendID
	Capacity           identifier.Millicores
	Free               identifier.Millicores
	FreeMem            identifier.Mebibytes
	OtherFailureDomain bool    // in another failure domain than this VM
	OwnedByPeer        bool    // owned by another entry VM
	Disturbance        float64 // added shares of run time by which the task and those that run there slow each other down
	Slowness           float64 // run times on it relative to those on the whole fleet; 1 is typical
}

// Demand is what a task needs.
type Demand struct {
	Cores  identifier.Millicores
	Memory identifier.Mebibytes
}

// Fits reports whether the server has enough free cores and memory for the task.
func (s Server) Fits(d Demand) bool { return s.Free >= d.Cores && s.FreeMem >= d.Memory }

// slownessWeight is how many more millicores a server may leave unused and still
// be preferred over one that takes twice as long: half of a typical server.
const slownessWeight = 16000

// remoteCost is how many more millicores a server may leave unused and still be
// preferred over one in another failure domain: an eighth of a typical server.
const remoteCost = 4000

// peerCost is how many more millicores a server may leave unused and still be
// preferred over one that another entry VM owns: half of a typical server, so that
// jobs stay on their own VM's servers while those have room.
const peerCost = 16000

// Pick returns the index of the server with the lowest cost: the cores that the
// task leaves unused there, in millicores, plus the costs of a slow server, of tasks that disturb each other, of
// another failure domain and of another owner. It returns -1 if the task fits on
// no server outside avoid.
func Pick(servers []Server, d Demand, avoid []identifier.BackendID) int {
	best, bestCost := -1, 0.0
	for i, s := range servers {
		if !s.Fits(d) || slices.Contains(avoid, s.ID) {
			continue
		}
		cost := float64(s.Free-d.Cores) + slownessWeight*(s.Slowness-1+s.Disturbance)
		if s.OtherFailureDomain {
			cost += remoteCost
		}
		if s.OwnedByPeer {
			cost += peerCost
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}
