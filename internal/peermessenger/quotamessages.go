package peermessenger

import "github.com/peppertrack/peppertrack/internal/identifier"

// QuotaName names the quota of one team under one profile, in one version of
// its division between the entry VMs.
type QuotaName struct {
	Team     identifier.Team        `cbor:"1,keyasint"`
	Profile  identifier.ProfileName `cbor:"2,keyasint"`
	Division uint64                 `cbor:"3,keyasint"` // depends on the list of entry VMs and on the quota
}

// QuotaWish asks for a part of the receiver's share of one quota.
type QuotaWish struct {
	Name   QuotaName        `cbor:"1,keyasint"`
	Quota  identifier.Slots `cbor:"2,keyasint"` // over all entry VMs
	Wanted identifier.Slots `cbor:"3,keyasint"`
	Got    identifier.Slots `cbor:"4,keyasint"` // from the receiver so far, in all
	Share  identifier.Slots `cbor:"5,keyasint"` // of the sender now
}

// QuotaGift tells what the sender has given to the receiver so far, in all.
type QuotaGift struct {
	Name  QuotaName        `cbor:"1,keyasint"`
	Total identifier.Slots `cbor:"2,keyasint"`
}

// QuotaAsk asks for parts of the receiver's shares of quotas.
type QuotaAsk struct {
	Wishes []QuotaWish `cbor:"1,keyasint"`
}

// QuotaGive answers QuotaAsk. Its totals only grow within a division, so that
// lost, repeated and reordered messages do no harm.
type QuotaGive struct {
	Gifts []QuotaGift `cbor:"1,keyasint"`
}

func (QuotaAsk) isPeerMessage()  {}
func (QuotaGive) isPeerMessage() {}
