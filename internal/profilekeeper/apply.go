package profilekeeper

import (
	"fmt"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Apply returns the book with a request applied. If any operation fails, the
// whole request is refused with *InvalidRequestError, *NotFoundError,
// *ExistsError, *RetiredError, *ConflictError, *ReusedIDError or *BookFullError.
// A request that was already applied changes nothing.
func (b Book) Apply(r Request) (Book, Acceptance, error) {
	if err := r.check(); err != nil {
		return b, Acceptance{}, err
	}
	accepted, applied, err := b.AppliedRequest(r)
	if applied || err != nil {
		return b, accepted, err
	}
	next, hash := b, r.hash()
	for _, o := range r.Operations {
		c, err := next.changeFor(o)
		if err != nil {
			return b, Acceptance{}, err
		}
		c.Version = next.Version + 1
		c.ID, c.Author, c.Reason, c.At, c.RequestHash = r.ID, r.Author, r.Reason, r.At.UTC(), hash
		next = next.withChange(c)
	}
	accepted = Acceptance{ID: r.ID, First: b.Version + 1, Last: next.Version}
	if err := next.checkSize(); err != nil {
		return b, Acceptance{}, err
	}
	return next, accepted, nil
}

// AppliedRequest returns the acceptance of a request that was applied already.
// It reports applied if the book has a recent request with the same id, and
// returns *ReusedIDError if that request asked for something else.
func (b Book) AppliedRequest(r Request) (accepted Acceptance, applied bool, err error) {
	recent, applied := b.Request(r.ID)
	if !applied {
		return Acceptance{}, false, nil
	}
	if recent.Hash != r.hash() {
		return Acceptance{}, true, &ReusedIDError{Recent: recent}
	}
	return Acceptance{ID: r.ID, First: recent.First, Last: recent.Last, Repeated: true}, true, nil
}

func (b Book) checkSize() error {
	switch size := len(Encode(b)); {
	case len(b.Profiles) > MaxProfiles:
		return &BookFullError{Detail: fmt.Sprintf("it holds %d profiles", MaxProfiles)}
	case len(b.Tokens) > MaxTokens:
		return &BookFullError{Detail: fmt.Sprintf("it holds %d tokens in force", MaxTokens)}
	case len(b.Evacuations) > MaxEvacuations:
		return &BookFullError{Detail: fmt.Sprintf("it holds %d evacuated failure domains", MaxEvacuations)}
	case size > MaxBookSize:
		return &BookFullError{Detail: fmt.Sprintf("%d bytes are above the bound of %d", size, MaxBookSize)}
	}
	return nil
}

// changeFor returns the change that an operation makes. The caller sets the
// version and the fields that come from the request.
func (b Book) changeFor(o Operation) (Change, error) {
	switch o := o.(type) {
	case CreateProfile:
		return b.profileCreation(o)
	case ChangeProfile:
		return b.profileReplacement(o)
	case RetireProfile:
		return b.profileRetirement(o)
	case CreateToken:
		return b.tokenCreation(o)
	case RetireToken:
		return b.tokenRetirement(o)
	case EvacuateDomain:
		return b.evacuation(o)
	case TakeBackDomain:
		return b.takeBack(o)
	}
	return Change{}, &InvalidRequestError{Field: "operations", Problem: fmt.Sprintf("hold an unknown %T", o)}
}

func (b Book) profileCreation(o CreateProfile) (Change, error) {
	if o.Profile.Name == "" || o.Profile.Retired {
		return Change{}, &InvalidRequestError{Field: "profile", Problem: "has no name or is retired"}
	}
	e, known := b.Profile(o.Profile.Name)
	switch {
	case !known:
		return Change{Kind: Created, Profile: &o.Profile}, nil
	case !e.Profile.Retired:
		return Change{}, &ExistsError{Subject: string(o.Profile.Name), Version: e.Version}
	case !o.Revive:
		return Change{}, &RetiredError{Subject: string(o.Profile.Name), Version: e.Version}
	}
	return Change{Kind: Revived, Profile: &o.Profile}, nil
}

func (b Book) profileReplacement(o ChangeProfile) (Change, error) {
	if o.Profile.Retired {
		return Change{}, &InvalidRequestError{Field: "profile.retired", Problem: "is set by retiring the profile"}
	}
	if _, err := b.currentEntry(o.Profile.Name, o.Base); err != nil {
		return Change{}, err
	}
	return Change{Kind: Changed, Profile: &o.Profile}, nil
}

func (b Book) profileRetirement(o RetireProfile) (Change, error) {
	e, err := b.currentEntry(o.Name, o.Base)
	if err != nil {
		return Change{}, err
	}
	retired := e.Profile
	retired.Retired = true
	return Change{Kind: Retired, Profile: &retired}, nil
}

// currentEntry returns the entry of a profile. It fails if the profile is unknown or
// retired, or if the base is not the version in which it last changed.
func (b Book) currentEntry(name identifier.ProfileName, base identifier.ProfileVersion) (Entry, error) {
	e, known := b.Profile(name)
	switch {
	case !known:
		return e, &NotFoundError{Subject: string(name)}
	case e.Version != base:
		return e, &ConflictError{Base: base, Current: e, Changes: b.profileChanges(name, base)}
	case e.Profile.Retired:
		return e, &RetiredError{Subject: string(name), Version: e.Version}
	}
	return e, nil
}

func (b Book) profileChanges(name identifier.ProfileName, after identifier.ProfileVersion) []Change {
	var found []Change
	for _, c := range b.Changes {
		if c.Version > after && c.Profile != nil && c.Profile.Name == name {
			found = append(found, c)
		}
	}
	return found
}

func (b Book) tokenCreation(o CreateToken) (Change, error) {
	record := o.Record
	record.CreatedAt = record.CreatedAt.UTC()
	if !record.Valid() || record.Retired {
		return Change{}, &InvalidRequestError{Field: "token", Problem: "is not a whole record of one team or one operator"}
	}
	if _, known := b.Token(record.ID); known {
		return Change{}, &ExistsError{Subject: "token " + string(record.ID)}
	}
	return Change{Kind: TokenCreated, Token: &record}, nil
}

func (b Book) tokenRetirement(o RetireToken) (Change, error) {
	record, known := b.Token(o.ID)
	if !known {
		return Change{}, &NotFoundError{Subject: "token " + string(o.ID)}
	}
	if record.Retired {
		return Change{}, &RetiredError{Subject: "token " + string(o.ID)}
	}
	record.Retired = true
	return Change{Kind: TokenRetired, Token: &record}, nil
}

// maxDomainLength bounds the name of a failure domain, in bytes.
const maxDomainLength = 100

func (b Book) evacuation(o EvacuateDomain) (Change, error) {
	if o.Domain == "" || len(o.Domain) > maxDomainLength {
		return Change{}, &InvalidRequestError{Field: "domain", Problem: "is empty or too long"}
	}
	if i, known := b.evacuationIndex(o.Domain); known {
		return Change{}, &ExistsError{Subject: "the evacuation of " + string(o.Domain), Version: b.Evacuations[i].Version}
	}
	return Change{Kind: DomainEvacuated, Domain: o.Domain}, nil
}

func (b Book) takeBack(o TakeBackDomain) (Change, error) {
	if _, known := b.evacuationIndex(o.Domain); !known {
		return Change{}, &NotFoundError{Subject: "an evacuation of " + string(o.Domain)}
	}
	return Change{Kind: DomainTakenBack, Domain: o.Domain}, nil
}
