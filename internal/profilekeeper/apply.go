package profilekeeper

import (
	"fmt"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Apply returns the book after a request, or the error for which all of it is
// refused: *InvalidRequestError, *UnknownError, *ExistsError, *RetiredError,
// *ConflictError, *ReusedIDError or *FullError. A request that was applied
// before changes nothing.
func (b Book) Apply(r Request) (Book, Accepted, error) {
	if err := r.check(); err != nil {
		return b, Accepted{}, err
	}
	accepted, known, err := b.Settle(r)
	if known || err != nil {
		return b, accepted, err
	}
	next, hash := b, r.hash()
	for _, o := range r.Operations {
		c, err := next.change(o)
		if err != nil {
			return b, Accepted{}, err
		}
		c.Version = next.Version + 1
		c.ID, c.Author, c.Reason, c.At, c.Request = r.ID, r.Author, r.Reason, r.At.UTC(), hash
		next = next.advance(c)
	}
	accepted = Accepted{ID: r.ID, First: b.Version + 1, Last: next.Version}
	if err := next.checkSize(); err != nil {
		return b, Accepted{}, err
	}
	return next, accepted, nil
}

// Settle tells whether a request was applied already.
func (b Book) Settle(r Request) (accepted Accepted, known bool, err error) {
	recent, known := b.Request(r.ID)
	if !known {
		return Accepted{}, false, nil
	}
	if recent.Hash != r.hash() {
		return Accepted{}, true, &ReusedIDError{Recent: recent}
	}
	return Accepted{ID: r.ID, First: recent.First, Last: recent.Last, Repeated: true}, true, nil
}

func (b Book) checkSize() error {
	switch size := len(Encode(b)); {
	case len(b.Profiles) > MaxProfiles:
		return &FullError{Detail: fmt.Sprintf("it holds %d profiles", MaxProfiles)}
	case len(b.Tokens) > MaxTokens:
		return &FullError{Detail: fmt.Sprintf("it holds %d tokens in force", MaxTokens)}
	case size > MaxBookSize:
		return &FullError{Detail: fmt.Sprintf("%d bytes are above the bound of %d", size, MaxBookSize)}
	}
	return nil
}

// change returns the change that an operation makes, without its version and
// the fields of the request.
func (b Book) change(o Operation) (Change, error) {
	switch o := o.(type) {
	case CreateProfile:
		return b.create(o)
	case ChangeProfile:
		return b.replace(o)
	case RetireProfile:
		return b.retire(o)
	case CreateToken:
		return b.createToken(o)
	case RetireToken:
		return b.retireToken(o)
	}
	return Change{}, &InvalidRequestError{Field: "operations", Problem: fmt.Sprintf("hold an unknown %T", o)}
}

func (b Book) create(o CreateProfile) (Change, error) {
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

func (b Book) replace(o ChangeProfile) (Change, error) {
	if o.Profile.Retired {
		return Change{}, &InvalidRequestError{Field: "profile.retired", Problem: "is set by retiring the profile"}
	}
	if _, err := b.current(o.Profile.Name, o.Base); err != nil {
		return Change{}, err
	}
	return Change{Kind: Changed, Profile: &o.Profile}, nil
}

func (b Book) retire(o RetireProfile) (Change, error) {
	e, err := b.current(o.Name, o.Base)
	if err != nil {
		return Change{}, err
	}
	retired := e.Profile
	retired.Retired = true
	return Change{Kind: Retired, Profile: &retired}, nil
}

// current returns the entry of a profile that is in force and at its base version.
func (b Book) current(name identifier.ProfileName, base identifier.ProfileVersion) (Entry, error) {
	e, known := b.Profile(name)
	switch {
	case !known:
		return e, &UnknownError{Subject: string(name)}
	case e.Version != base:
		return e, &ConflictError{Base: base, Current: e, Changes: b.changesTo(name, base)}
	case e.Profile.Retired:
		return e, &RetiredError{Subject: string(name), Version: e.Version}
	}
	return e, nil
}

func (b Book) changesTo(name identifier.ProfileName, after identifier.ProfileVersion) []Change {
	var found []Change
	for _, c := range b.Changes {
		if c.Version > after && c.Profile != nil && c.Profile.Name == name {
			found = append(found, c)
		}
	}
	return found
}

func (b Book) createToken(o CreateToken) (Change, error) {
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

func (b Book) retireToken(o RetireToken) (Change, error) {
	record, known := b.Token(o.ID)
	if !known {
		return Change{}, &UnknownError{Subject: "token " + string(o.ID)}
	}
	if record.Retired {
		return Change{}, &RetiredError{Subject: "token " + string(o.ID)}
	}
	record.Retired = true
	return Change{Kind: TokenRetired, Token: &record}, nil
}
