package peermessenger

import "github.com/peppertrack/peppertrack/internal/identifier"

// QuotaName identifies the quota of one team under one profile, in one division
// of the quota between the entry VMs.
type QuotaName struct {
	Team     identifier.Team        `cbor:"1,keyasint"`
	Profile  identifier.ProfileName `cbor:"2,keyasint"`
	Division uint64                 `cbor:"3,keyasint"` // derived from the list of entry VMs and the quota
}

// QuotaWish is a request for a part of the receiver's share of one quota.
type QuotaWish struct {
	Name   QuotaName        `cbor:"1,keyasint"`
	Quota  identifier.Slots `cbor:"2,keyasint"` // the whole quota, over all entry VMs
	Wanted identifier.Slots `cbor:"3,keyasint"`
	Got    identifier.Slots `cbor:"4,keyasint"` // total received from the receiver of the message so far
	Share  identifier.Slots `cbor:"5,keyasint"` // the sender's share now
}

// QuotaGift is the total that the sender has transferred to the receiver so far
// from its share of one quota.
type QuotaGift struct {
	Name  QuotaName        `cbor:"1,keyasint"`
	Total identifier.Slots `cbor:"2,keyasint"`
}

// QuotaAsk asks the receiver to transfer parts of its shares of quotas.
type QuotaAsk struct {
	Wishes []QuotaWish `cbor:"1,keyasint"`
}

// QuotaGive answers QuotaAsk. Within a division its totals only grow, so that
// lost, duplicated and reordered messages do no harm.
type QuotaGive struct {
	Gifts []QuotaGift `cbor:"1,keyasint"`
}

func (QuotaAsk) isPeerMessage()  {}
func (QuotaGive) isPeerMessage() {}
