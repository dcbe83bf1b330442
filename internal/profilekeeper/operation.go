package profilekeeper

import (
	"github.com/peppertrack/peppertrack/internal/authenticator"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

// Operation is one operation of a request: CreateProfile, ChangeProfile,
// RetireProfile, CreateToken, RetireToken, EvacuateDomain or TakeBackDomain.
type Operation interface{ isOperation() }

// CreateProfile creates a profile. Reusing the name of a retired profile requires
// Revive.
type CreateProfile struct {
	Profile profileparser.Profile
	Revive  bool
}

// ChangeProfile replaces a profile that last changed in version Base of the book.
type ChangeProfile struct {
	Profile profileparser.Profile
	Base    identifier.ProfileVersion
}

// RetireProfile retires a profile that last changed in version Base of the book.
type RetireProfile struct {
	Name identifier.ProfileName
	Base identifier.ProfileVersion
}

// CreateToken stores the record of a new token.
type CreateToken struct{ Record authenticator.Record }

// RetireToken retires a token.
type RetireToken struct{ ID authenticator.TokenID }

// EvacuateDomain keeps new tasks from the backend servers of a failure domain.
type EvacuateDomain struct{ Domain identifier.FailureDomain }

// TakeBackDomain ends the evacuation of a failure domain.
type TakeBackDomain struct{ Domain identifier.FailureDomain }

func (CreateProfile) isOperation()  {}
func (ChangeProfile) isOperation()  {}
func (RetireProfile) isOperation()  {}
func (CreateToken) isOperation()    {}
func (RetireToken) isOperation()    {}
func (EvacuateDomain) isOperation() {}
func (TakeBackDomain) isOperation() {}

// operationKind returns the number that stands for the operation's type in the
// hash of a request.
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
	case EvacuateDomain:
		return 6
	case TakeBackDomain:
		return 7
	}
	return 0
}
