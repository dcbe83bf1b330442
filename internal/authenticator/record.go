package authenticator

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Record is the stored form of a token, without its secret. Exactly one of Team
// and Operator is set.
type Record struct {
	ID        TokenID         `cbor:"1,keyasint" json:"id"`
	Hash      Hash            `cbor:"2,keyasint" json:"hash"`
	Team      identifier.Team `cbor:"3,keyasint,omitempty" json:"team,omitempty"`
	Operator  string          `cbor:"4,keyasint,omitempty" json:"operator,omitempty"`
	CreatedAt time.Time       `cbor:"5,keyasint" json:"createdAt"`
	Retired   bool            `cbor:"6,keyasint,omitempty" json:"retired,omitempty"`
}

// Valid reports whether id, hash and name are well-formed and exactly one of Team
// and Operator is set. No record may have the name BootstrapOperator.
func (r Record) Valid() bool {
	hasTeam, hasOperator := r.Team != "", r.Operator != ""
	if hasTeam == hasOperator || r.Hash == (Hash{}) || !r.ID.valid() {
		return false
	}
	if hasTeam {
		return identifier.ValidTeam(r.Team)
	}
	return identifier.ValidTeam(identifier.Team(r.Operator)) && r.Operator != BootstrapOperator
}
