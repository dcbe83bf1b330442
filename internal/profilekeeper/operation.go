package profilekeeper

import (
	"github.com/peppertrack/peppertrack/internal/authenticator"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

// Operation is one thing that a request asks for: CreateProfile, ChangeProfile,
// RetireProfile, CreateToken or RetireToken.
type Operation interface{ isOperation() }

// CreateProfile asks for a new profile. The name of a retired profile is taken
// up again only with Revive.
type CreateProfile struct {
	Profile profileparser.Profile
	Revive  bool
}

// ChangeProfile asks to replace a profile that is at the version Base.
type ChangeProfile struct {
	Profile profileparser.Profile
	Base    identifier.ProfileVersion
}

// RetireProfile asks to retire a profile that is at the version Base.
type RetireProfile struct {
	Name identifier.ProfileName
	Base identifier.ProfileVersion
}

// CreateToken asks to keep the record of a new token.
type CreateToken struct{ Record authenticator.Record }

// RetireToken asks to retire a token.
type RetireToken struct{ ID authenticator.TokenID }

func (CreateProfile) isOperation() {}
func (ChangeProfile) isOperation() {}
func (RetireProfile) isOperation() {}
func (CreateToken) isOperation()   {}
func (RetireToken) isOperation()   {}

// operationKind numbers the operations in the hash of a request.
func operationKind(o Operation) byte {
	switch o.(type) {
	case CreateProfile:
		return 1
	case ChangeProfile:
		return 2
	case RetireProfile:
		return 3
	case CreateToken:
		return 4
	case RetireToken:
		return 5
	}
	return 0
}
