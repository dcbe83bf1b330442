package profilekeeper

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/authenticator"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

// ChangeKind says what a change did.
type ChangeKind string

// The kinds of changes.
const (
	Created      ChangeKind = "created"
	Changed      ChangeKind = "changed"
	Retired      ChangeKind = "retired"
	Revived      ChangeKind = "revived" // a retired profile was recreated by a request with Revive
	TokenCreated ChangeKind = "tokenCreated"
	TokenRetired ChangeKind = "tokenRetired"

	DomainEvacuated ChangeKind = "domainEvacuated"
	DomainTakenBack ChangeKind = "domainTakenBack"
)

// Change is one accepted change, made by one operation of a request. It holds the
// state of the profile, token or failure domain after the change.
type Change struct {
	Version     identifier.ProfileVersion `cbor:"1,keyasint" json:"version"` // of the book after the change
	ID          identifier.ChangeID       `cbor:"2,keyasint" json:"id"`      // of the request, which may hold several changes
	Author      string                    `cbor:"3,keyasint" json:"author"`
	Reason      string                    `cbor:"4,keyasint" json:"reason"`
	At          time.Time                 `cbor:"5,keyasint" json:"at"`
	Kind        ChangeKind                `cbor:"6,keyasint" json:"kind"`
	RequestHash uint64                    `cbor:"9,keyasint" json:"request,string"` // hash of the request's operations
	Profile     *profileparser.Profile    `cbor:"7,keyasint,omitempty" json:"profile,omitempty"`
	Token       *authenticator.Record     `cbor:"8,keyasint,omitempty" json:"token,omitempty"`
	// Domain is the failure domain that was evacuated or taken back.
	Domain identifier.FailureDomain `cbor:"10,keyasint,omitempty" json:"domain,omitempty"`
}

// valid reports whether the change names what it changed.
func (c Change) valid() bool { return c.Profile != nil || c.Token != nil || c.Domain != "" }

// Subject returns the profile name, token id or failure domain that was changed.
func (c Change) Subject() string {
	switch {
	case c.Profile != nil:
		return string(c.Profile.Name)
	case c.Token != nil:
		return string(c.Token.ID)
	}
	return string(c.Domain)
}
