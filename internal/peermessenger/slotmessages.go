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

// SlotAsk tells the owner of backend servers' slots what the sender wants and
// holds of them. It states levels, not changes, so that a lost one is made good
// by the next one.
type SlotAsk struct {
	Sequence     uint64                 `cbor:"1,keyasint"`  // grows with each SlotAsk to this owner
	GrantSeen    uint64                 `cbor:"2,keyasint"`  // sequence of the latest SlotGrant received
	Wanted       identifier.Slots       `cbor:"3,keyasint"`  // besides those held
	Millicores   identifier.Millicores  `cbor:"4,keyasint"`  // of the largest task that waits
	Memory       identifier.Mebibytes   `cbor:"5,keyasint"`  // of the largest task that waits
	Accelerators declarer.Accelerators  `cbor:"6,keyasint"`  // of the largest task that waits
	Held         []SlotCount            `cbor:"7,keyasint"`  // all slots of the owner that the sender uses or may use
	Refused      []identifier.BackendID `cbor:"8,keyasint"`  // servers that were full in spite of a grant
	Free         identifier.Slots       `cbor:"9,keyasint"`  // slots that the sender could grant
	Waiting      time.Duration          `cbor:"10,keyasint"` // of the task that waits longest
}

// SlotGrant gives the receiver the use of slots until it reports them as no
// longer held.
type SlotGrant struct {
	Sequence uint64           `cbor:"1,keyasint"` // grows with each SlotGrant to this receiver
	AskSeen  uint64           `cbor:"2,keyasint"` // sequence of the latest SlotAsk received
	Slots    []SlotCount      `cbor:"3,keyasint"`
	Free     identifier.Slots `cbor:"4,keyasint"` // slots that the sender could grant besides
}

// BackendsLeaving names backend servers that are leaving.
type BackendsLeaving struct {
	Backends []identifier.BackendID `cbor:"1,keyasint"`
}

func (SlotAsk) isPeerMessage()         {}
func (SlotGrant) isPeerMessage()       {}
func (BackendsLeaving) isPeerMessage() {}
