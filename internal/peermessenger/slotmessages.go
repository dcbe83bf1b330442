package peermessenger

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

// SlotCount is a number of slots of one backend server.
type SlotCount struct {
	Backend identifier.BackendID `cbor:"1,keyasint"`
	Slots   identifier.Slots     `cbor:"2,keyasint"`
}

// SlotRequest requests slots from the owner of backend servers and reports the
// slots that the sender holds. It states totals, not changes, so that the next
// message makes up for a lost one.
type SlotRequest struct {
	Sequence     uint64                 `cbor:"1,keyasint"`  // grows with each SlotRequest to this owner
	GrantSeen    uint64                 `cbor:"2,keyasint"`  // sequence of the latest SlotGrant received
	Wanted       identifier.Slots       `cbor:"3,keyasint"`  // in addition to those held
	Millicores   identifier.Millicores  `cbor:"4,keyasint"`  // of the largest waiting task
	Memory       identifier.Mebibytes   `cbor:"5,keyasint"`  // of the largest waiting task
	Accelerators declarer.Accelerators  `cbor:"6,keyasint"`  // of the largest waiting task
	Held         []SlotCount            `cbor:"7,keyasint"`  // all slots of the owner that the sender uses or may use
	Refused      []identifier.BackendID `cbor:"8,keyasint"`  // servers that were full despite a grant
	Free         identifier.Slots       `cbor:"9,keyasint"`  // slots that the sender could grant to others
	Waiting      time.Duration          `cbor:"10,keyasint"` // how long the longest-waiting task has waited
}

// SlotGrant lets the receiver use slots until it reports them as no longer held.
type SlotGrant struct {
	Sequence uint64           `cbor:"1,keyasint"` // grows with each SlotGrant to this receiver
	AskSeen  uint64           `cbor:"2,keyasint"` // sequence of the latest SlotRequest received
	Slots    []SlotCount      `cbor:"3,keyasint"`
	Free     identifier.Slots `cbor:"4,keyasint"` // further slots that the sender could grant
}

// BackendsLeaving names backend servers that are leaving.
type BackendsLeaving struct {
	Backends []identifier.BackendID `cbor:"1,keyasint"`
}

func (SlotRequest) isPeerMessage()     {}
func (SlotGrant) isPeerMessage()       {}
func (BackendsLeaving) isPeerMessage() {}
