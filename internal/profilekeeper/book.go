package profilekeeper

import (
	"cmp"
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/authenticator"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

// Key is the key of the book in the key-value service of package platformcaller, the
// store.
const Key = "profiles"

// Limits of a book. The history and the recent requests drop their oldest
// entries to stay within their limits.
const (
	MaxBookSize       = 1_000_000 // bytes of the encoded book; the store accepts 2^20
	MaxProfiles       = 1_000     // retired ones included
	MaxTokens         = 2_000     // retired ones included
	MaxHistory        = 500       // changes
	MaxHistoryBytes   = 200_000   // encoded changes
	MaxRecentRequests = 1_000     // requests
	MaxEvacuations    = 100       // failure domains
)

// Book holds every profile and token, and the most recent changes. It is
// immutable: its methods return modified copies that share unchanged parts.
type Book struct {
	Version            identifier.ProfileVersion `cbor:"1,keyasint" json:"version"` // of the book; each change adds 1
	Chain              Chain                     `cbor:"2,keyasint" json:"chain"`
	Profiles           []Entry                   `cbor:"3,keyasint" json:"profiles"` // by name
	Tokens             []authenticator.Record    `cbor:"4,keyasint" json:"tokens"`   // by id
	Changes            []Change                  `cbor:"5,keyasint" json:"changes"`  // the newest ones, by version
	ChainBeforeChanges Chain                     `cbor:"6,keyasint" json:"before"`   // chain just before the first of Changes
	HistoryBytes       int                       `cbor:"7,keyasint" json:"bytes"`    // encoded size of Changes
	RecentRequests     []RecentRequest           `cbor:"8,keyasint" json:"recent"`   // the newest ones, by version
	// Evacuations are the failure domains whose backend servers get no new tasks, by name.
	Evacuations []Evacuation `cbor:"9,keyasint,omitempty" json:"evacuations,omitempty"`
}

// Evacuation says that a failure domain is evacuated since a version of the book.
type Evacuation struct {
	Domain  identifier.FailureDomain  `cbor:"1,keyasint" json:"domain"`
	Version identifier.ProfileVersion `cbor:"2,keyasint" json:"version"`
	At      time.Time                 `cbor:"3,keyasint" json:"at"`
}

// Entry is a profile with the version of the book in which it last changed.
type Entry struct {
	Profile profileparser.Profile     `cbor:"1,keyasint" json:"profile"`
	Version identifier.ProfileVersion `cbor:"2,keyasint" json:"version"`
}

// RecentRequest identifies an applied request, so that a repeated attempt is
// recognized.
type RecentRequest struct {
	ID    identifier.ChangeID       `cbor:"1,keyasint" json:"id"`
	First identifier.ProfileVersion `cbor:"2,keyasint" json:"first"`       // version of the book after its first operation
	Last  identifier.ProfileVersion `cbor:"3,keyasint" json:"last"`        // version of the book after its last operation
	Hash  uint64                    `cbor:"4,keyasint" json:"hash,string"` // of its operations
}

// Profile returns the entry of a profile, which may be retired.
func (b Book) Profile(name identifier.ProfileName) (Entry, bool) {
	i, ok := b.profileIndex(name)
	if !ok {
		return Entry{}, false
	}
	return b.Profiles[i], true
}

// Token returns the record of a token, which may be retired.
func (b Book) Token(id authenticator.TokenID) (authenticator.Record, bool) {
	i, ok := b.tokenIndex(id)
	if !ok {
		return authenticator.Record{}, false
	}
	return b.Tokens[i], true
}

// ChangesSince returns the changes after a version. It reports false if the
// history no longer has all of them, or if the version is newer than the book.
func (b Book) ChangesSince(version identifier.ProfileVersion) ([]Change, bool) {
	if version >= b.Version {
		return nil, version == b.Version
	}
	missing := int(b.Version - version)
	if missing > len(b.Changes) {
		return nil, false
	}
	return b.Changes[len(b.Changes)-missing:], true
}

// Request returns the recent request with an id.
func (b Book) Request(id identifier.ChangeID) (RecentRequest, bool) {
	for _, recent := range slices.Backward(b.RecentRequests) {
		if recent.ID == id {
			return recent, true
		}
	}
	return RecentRequest{}, false
}

func (b Book) profileIndex(name identifier.ProfileName) (int, bool) {
	return slices.BinarySearchFunc(b.Profiles, name, func(e Entry, name identifier.ProfileName) int {
		return cmp.Compare(e.Profile.Name, name)
	})
}

func (b Book) tokenIndex(id authenticator.TokenID) (int, bool) {
	return slices.BinarySearchFunc(b.Tokens, id, func(r authenticator.Record, id authenticator.TokenID) int {
		return cmp.Compare(r.ID, id)
	})
}

// withChange returns the book after one more change. The result depends only on
// the book and the change, so that every VM computes the same book.
func (b Book) withChange(c Change) Book {
	b.Version = c.Version
	b.Chain = b.Chain.next(c)
	if c.Profile != nil {
		b.Profiles = b.withProfile(Entry{Profile: *c.Profile, Version: c.Version})
	}
	if c.Token != nil {
		b.Tokens = b.withToken(*c.Token)
	}
	switch c.Kind {
	case DomainEvacuated:
		b.Evacuations = b.withEvacuation(Evacuation{Domain: c.Domain, Version: c.Version, At: c.At})
	case DomainTakenBack:
		b.Evacuations = slices.DeleteFunc(slices.Clone(b.Evacuations), func(e Evacuation) bool { return e.Domain == c.Domain })
	}
	b.RecentRequests = b.withRecentRequest(c)
	b.Changes = append(slices.Clip(b.Changes), c)
	b.HistoryBytes += len(encodeChange(c))
	b.trimHistory()
	return b
}

// EvacuatedDomains returns the evacuated failure domains, by name.
func (b Book) EvacuatedDomains() []identifier.FailureDomain {
	domains := make([]identifier.FailureDomain, 0, len(b.Evacuations))
	for _, e := range b.Evacuations {
		domains = append(domains, e.Domain)
	}
	return domains
}

func (b Book) evacuationIndex(d identifier.FailureDomain) (int, bool) {
	return slices.BinarySearchFunc(b.Evacuations, d, func(e Evacuation, d identifier.FailureDomain) int {
		return cmp.Compare(e.Domain, d)
	})
}

func (b Book) withEvacuation(e Evacuation) []Evacuation {
	i, known := b.evacuationIndex(e.Domain)
	if known {
		return b.Evacuations
	}
	return slices.Insert(slices.Clone(b.Evacuations), i, e)
}

func (b Book) withProfile(e Entry) []Entry {
	i, known := b.profileIndex(e.Profile.Name)
	entries := slices.Clone(b.Profiles)
	if known {
		entries[i] = e
		return entries
	}
	return slices.Insert(entries, i, e)
}

// withToken returns the token records with one added or replaced. Above
// MaxTokens it drops the oldest retired record, after which that token counts as
// unknown instead of retired.
func (b Book) withToken(r authenticator.Record) []authenticator.Record {
	i, known := b.tokenIndex(r.ID)
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

// withRecentRequest returns the recent requests including the one that made the
// change.
func (b Book) withRecentRequest(c Change) []RecentRequest {
	recent := slices.Clone(b.RecentRequests)
	if n := len(recent); n > 0 && recent[n-1].ID == c.ID {
		recent[n-1].Last = c.Version
		return recent
	}
	recent = append(recent, RecentRequest{ID: c.ID, First: c.Version, Last: c.Version, Hash: c.RequestHash})
	return recent[max(0, len(recent)-MaxRecentRequests):]
}

// trimHistory drops the oldest changes until the history is within its limits.
func (b *Book) trimHistory() {
	for len(b.Changes) > MaxHistory || (len(b.Changes) > 1 && b.HistoryBytes > MaxHistoryBytes) {
		dropped := b.Changes[0]
		b.ChainBeforeChanges = b.ChainBeforeChanges.next(dropped)
		b.HistoryBytes -= len(encodeChange(dropped))
		b.Changes = b.Changes[1:]
	}
}

// chainAt returns the chain at a version, which must not be older than the
// history.
func (b Book) chainAt(version identifier.ProfileVersion) Chain {
	chain := b.ChainBeforeChanges
	for _, c := range b.Changes {
		if c.Version > version {
			break
		}
		chain = chain.next(c)
	}
	return chain
}

// withPeerChanges returns the book after changes from a peer. It fails unless
// they are consecutive and start right after the book's version.
func (b Book) withPeerChanges(changes []Change) (Book, error) {
	for _, c := range changes {
		if c.Version != b.Version+1 || !c.valid() {
			return b, &InvalidRequestError{Field: "changes", Problem: "must have consecutive versions and a profile, token or failure domain each"}
		}
		b = b.withChange(c)
	}
	return b, nil
}

// ProfilesByName returns all profiles by name, including retired ones.
func (b Book) ProfilesByName() map[identifier.ProfileName]profileparser.Profile {
	profiles := make(map[identifier.ProfileName]profileparser.Profile, len(b.Profiles))
	for _, e := range b.Profiles {
		profiles[e.Profile.Name] = e.Profile
	}
	return profiles
}
