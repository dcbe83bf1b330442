package peermessenger

import "github.com/peppertrack/peppertrack/internal/identifier"

// QuotaKey identifies the quota of one team under one profile, in one division
// of the quota between the entry VMs.
type QuotaKey struct {
	Team     identifier.Team        `cbor:"1,keyasint"`
	Profile  identifier.ProfileName `cbor:"2,keyasint"`
	Division uint64                 `cbor:"3,keyasint"` // derived from the list of entry VMs and the quota
}

// ShareRequest is a request for a part of the receiver's share of one quota.
type ShareRequest struct {
	Name     QuotaKey         `cbor:"1,keyasint"`
	Quota    identifier.Slots `cbor:"2,keyasint"` // the whole quota, over all entry VMs
	Wanted   identifier.Slots `cbor:"3,keyasint"`
	Received identifier.Slots `cbor:"4,keyasint"` // total received from the receiver of the message so far
	Share    identifier.Slots `cbor:"5,keyasint"` // the sender's share now
}

// ShareTransfer is the total that the sender has transferred to the receiver so far
// from its share of one quota.
type ShareTransfer struct {
	Name  QuotaKey         `cbor:"1,keyasint"`
	Total identifier.Slots `cbor:"2,keyasint"`
}

// QuotaRequest asks the receiver to transfer parts of its shares of quotas.
type QuotaRequest struct {
	Requests []ShareRequest `cbor:"1,keyasint"`
}

// QuotaTransfer answers QuotaRequest. Within a division its totals only grow, so that
// lost, duplicated and reordered messages do no harm.
type QuotaTransfer struct {
	Transfers []ShareTransfer `cbor:"1,keyasint"`
}

func (QuotaRequest) isPeerMessage()  {}
func (QuotaTransfer) isPeerMessage() {}
