package enroller

import (
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Revision is the store's version number of a value.
type Revision uint64

// Event is an input of Step.
type Event interface{ isEvent() }

// RosterRead answers ReadRoster.
type RosterRead struct {
	Roster   *Roster  // nil if the store has none
	Revision Revision // for the next swap; 0 if the store has none
}

// SwapSucceeded answers SwapRoster: the store holds the new roster.
type SwapSucceeded struct{}

// SwapConflict answers SwapRoster: the store held another revision.
type SwapConflict struct{}

// SwapUnknown answers SwapRoster: the write may or may not have taken effect.
type SwapUnknown struct{}

// StoreFailed answers ReadRoster or SwapRoster: nothing was read or written.
type StoreFailed struct{}

// PeerHeard says that a message of any kind arrived from a member.
type PeerHeard struct{ Member identifier.Member }

// PeerMessage delivers a roster message from a member.
type PeerMessage struct {
	From    identifier.Member
	Message peermessenger.Message
}

// LeaveRequested says that this process is shutting down.
type LeaveRequested struct{}

// RecordsCaughtUp says that this member has caught up in an epoch: it holds all
// records of its shards.
type RecordsCaughtUp struct{ Epoch identifier.Epoch }

// LaterEpochSeen says that a member knows of an epoch, which is ignored unless
// it is later than that of the current roster.
type LaterEpochSeen struct {
	From  identifier.Member
	Epoch identifier.Epoch
}

// VMListRead delivers the platform's list of live VMs.
type VMListRead struct {
	Revision Revision // a list with a lower revision than the last one is ignored; 0 if lists have no revision
	VMs      []identifier.VMID
}

// Tick says that time has passed.
type Tick struct{}

func (RosterRead) isEvent()      {}
func (SwapSucceeded) isEvent()   {}
func (SwapConflict) isEvent()    {}
func (SwapUnknown) isEvent()     {}
func (StoreFailed) isEvent()     {}
func (PeerHeard) isEvent()       {}
func (PeerMessage) isEvent()     {}
func (LeaveRequested) isEvent()  {}
func (RecordsCaughtUp) isEvent() {}
func (LaterEpochSeen) isEvent()  {}
func (VMListRead) isEvent()      {}
func (Tick) isEvent()            {}
