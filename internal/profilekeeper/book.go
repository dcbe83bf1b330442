package profilekeeper

import (
	"cmp"
	"slices"

	"github.com/peppertrack/peppertrack/internal/authenticator"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

// Key is the key of the book in the platform's store.
const Key = "profiles"

// Bounds of a book. What a bound leaves out of the history or of the table of
// recent requests is the oldest.
const (
	MaxBookSize     = 1_000_000 // bytes of the encoded book; the store takes 2^20
	MaxProfiles     = 1_000     // retired ones included
	MaxTokens       = 2_000     // retired ones included
	MaxHistory      = 500       // changes
	MaxHistoryBytes = 200_000   // encoded changes
	MaxRecent       = 1_000     // requests
)

// Book holds every profile and token, with the changes that led to it. It is a
// value: its methods return changed copies and share what stays the same.
type Book struct {
	Version  identifier.ProfileVersion `cbor:"1,keyasint" json:"version"`
	Chain    Chain                     `cbor:"2,keyasint" json:"chain"`
	Profiles []Entry                   `cbor:"3,keyasint" json:"profiles"` // by name
	Tokens   []authenticator.Record    `cbor:"4,keyasint" json:"tokens"`   // by id
	Changes  []Change                  `cbor:"5,keyasint" json:"changes"`  // by version; the newest ones
	Before   Chain                     `cbor:"6,keyasint" json:"before"`   // chain before the first of Changes
	Bytes    int                       `cbor:"7,keyasint" json:"bytes"`    // encoded size of Changes
	Recent   []RecentRequest           `cbor:"8,keyasint" json:"recent"`   // by version; the newest ones
}

// Entry is a profile with the version of the book that last changed it.
type Entry struct {
	Profile profileparser.Profile     `cbor:"1,keyasint" json:"profile"`
	Version identifier.ProfileVersion `cbor:"2,keyasint" json:"version"`
}

// RecentRequest recognizes a request that was applied.
type RecentRequest struct {
	ID    identifier.ChangeID       `cbor:"1,keyasint" json:"id"`
	First identifier.ProfileVersion `cbor:"2,keyasint" json:"first"`       // version after its first operation
	Last  identifier.ProfileVersion `cbor:"3,keyasint" json:"last"`        // version after its last operation
	Hash  uint64                    `cbor:"4,keyasint" json:"hash,string"` // of what it asked for
}

// Profile returns the entry of a profile, which may be retired.
func (b Book) Profile(name identifier.ProfileName) (Entry, bool) {
	i, ok := b.find(name)
	if !ok {
		return Entry{}, false
	}
	return b.Profiles[i], true
}

// Token returns the record of a token, which may be retired.
func (b Book) Token(id authenticator.TokenID) (authenticator.Record, bool) {
	i, ok := b.findToken(id)
	if !ok {
		return authenticator.Record{}, false
	}
	return b.Tokens[i], true
}

// Since returns the changes after a version. It reports false if the history
// doesn't reach back that far.
func (b Book) Since(version identifier.ProfileVersion) ([]Change, bool) {
	if version >= b.Version {
		return nil, version == b.Version
	}
	missing := int(b.Version - version)
	if missing > len(b.Changes) {
		return nil, false
	}
	return b.Changes[len(b.Changes)-missing:], true
}

// Request returns what is known of a request by its id.
func (b Book) Request(id identifier.ChangeID) (RecentRequest, bool) {
	for _, recent := range slices.Backward(b.Recent) {
		if recent.ID == id {
			return recent, true
		}
	}
	return RecentRequest{}, false
}

func (b Book) find(name identifier.ProfileName) (int, bool) {
	return slices.BinarySearchFunc(b.Profiles, name, func(e Entry, name identifier.ProfileName) int {
		return cmp.Compare(e.Profile.Name, name)
	})
}

func (b Book) findToken(id authenticator.TokenID) (int, bool) {
	return slices.BinarySearchFunc(b.Tokens, id, func(r authenticator.Record, id authenticator.TokenID) int {
		return cmp.Compare(r.ID, id)
	})
}

// advance returns the book after one more change. It reads and writes nothing
// but the book and the change, so that every VM reaches the same book.
func (b Book) advance(c Change) Book {
	b.Version = c.Version
	b.Chain = b.Chain.next(c)
	if c.Profile != nil {
		b.Profiles = b.withProfile(Entry{Profile: *c.Profile, Version: c.Version})
	}
	if c.Token != nil {
		b.Tokens = b.withToken(*c.Token)
	}
	b.Recent = b.withRequest(c)
	b.Changes = append(slices.Clip(b.Changes), c)
	b.Bytes += len(encodeChange(c))
	b.trimHistory()
	return b
}

func (b Book) withProfile(e Entry) []Entry {
	i, known := b.find(e.Profile.Name)
	entries := slices.Clone(b.Profiles)
	if known {
		entries[i] = e
		return entries
	}
	return slices.Insert(entries, i, e)
}

// withToken returns the records with one more. Beyond their bound the oldest
// retired one is dropped, whose token then is unknown instead of retired.
func (b Book) withToken(r authenticator.Record) []authenticator.Record {
	i, known := b.findToken(r.ID)
	records := slices.Clone(b.Tokens)
	if known {
		records[i] = r
		return records
	}
	records = slices.Insert(records, i, r)
	if len(records) > MaxTokens {
		records = withoutOldestRetired(records)
	}
	return records
}

func withoutOldestRetired(records []authenticator.Record) []authenticator.Record {
	oldest := -1
	for i, r := range records {
		if r.Retired && (oldest < 0 || r.CreatedAt.Before(records[oldest].CreatedAt)) {
			oldest = i
		}
	}
	if oldest < 0 {
		return records
	}
	return slices.Delete(records, oldest, oldest+1)
}

// withRequest returns the recent requests with the one that made a change.
func (b Book) withRequest(c Change) []RecentRequest {
	recent := slices.Clone(b.Recent)
	if n := len(recent); n > 0 && recent[n-1].ID == c.ID {
		recent[n-1].Last = c.Version
		return recent
	}
	recent = append(recent, RecentRequest{ID: c.ID, First: c.Version, Last: c.Version, Hash: c.Request})
	return recent[max(0, len(recent)-MaxRecent):]
}

// trimHistory drops the oldest changes until the history is within its bounds.
func (b *Book) trimHistory() {
	for len(b.Changes) > MaxHistory || (len(b.Changes) > 1 && b.Bytes > MaxHistoryBytes) {
		dropped := b.Changes[0]
		b.Before = b.Before.next(dropped)
		b.Bytes -= len(encodeChange(dropped))
		b.Changes = b.Changes[1:]
	}
}

// chainAt returns the chain at a version that the history reaches back to.
func (b Book) chainAt(version identifier.ProfileVersion) Chain {
	chain := b.Before
	for _, c := range b.Changes {
		if c.Version > version {
			break
		}
		chain = chain.next(c)
	}
	return chain
}

// follow returns the book after the changes of a peer, which follow its version.
func (b Book) follow(changes []Change) (Book, error) {
	for _, c := range changes {
		if c.Version != b.Version+1 || (c.Profile == nil && c.Token == nil) {
			return b, &InvalidRequestError{Field: "changes", Problem: "don't follow one another"}
		}
		b = b.advance(c)
	}
	return b, nil
}

// InForce returns the profiles by name, retired ones included.
func (b Book) InForce() map[identifier.ProfileName]profileparser.Profile {
	profiles := make(map[identifier.ProfileName]profileparser.Profile, len(b.Profiles))
	for _, e := range b.Profiles {
		profiles[e.Profile.Name] = e.Profile
	}
	return profiles
}
