package enroller

import (
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Revision is the store's number for one state of a value.
type Revision uint64

// Event is what an Enroller reacts to.
type Event interface{ isEvent() }

// RosterRead answers ReadRoster.
type RosterRead struct {
	Roster   *Roster  // nil: the store has none
	Revision Revision // to be expected by a swap; 0: the store has none
}

// SwapSucceeded answers SwapRoster: the store holds the new roster.
type SwapSucceeded struct{}

// SwapConflict answers SwapRoster: the store held another revision.
type SwapConflict struct{}

// SwapUnknown answers SwapRoster: the write may or may not have taken effect.
type SwapUnknown struct{}

// StoreFailed answers ReadRoster or SwapRoster: nothing was read or written.
type StoreFailed struct{}

// PeerHeard says that any message of a member arrived.
type PeerHeard struct{ Member identifier.Member }

// PeerReceived hands over a roster message of a member.
type PeerReceived struct {
	From    identifier.Member
	Message peermessenger.Message
}

// LeaveRequested says that this process is to shut down.
type LeaveRequested struct{}

// RecordsWhole says that this member holds all records of its shards in an epoch.
type RecordsWhole struct{ Epoch identifier.Epoch }

// EpochHeard says that a member knows of an epoch.
type EpochHeard struct {
	From  identifier.Member
	Epoch identifier.Epoch
}

// VMListRead hands over the platform's list of live VMs.
type VMListRead struct {
	Revision Revision // lists of lower revisions than one already read are ignored; 0 where lists have none
	VMs      []identifier.VMID
}

// Tick says that time has passed.
type Tick struct{}

func (RosterRead) isEvent()     {}
func (SwapSucceeded) isEvent()  {}
func (SwapConflict) isEvent()   {}
func (SwapUnknown) isEvent()    {}
func (StoreFailed) isEvent()    {}
func (PeerHeard) isEvent()      {}
func (PeerReceived) isEvent()   {}
func (LeaveRequested) isEvent() {}
func (RecordsWhole) isEvent()   {}
func (EpochHeard) isEvent()     {}
func (VMListRead) isEvent()     {}
func (Tick) isEvent()           {}
