package profilekeeper

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

const maxNestingDepth = 8

var (
	encMode = newEncMode()
	decMode = newDecMode()
)

// newEncMode returns a deterministic encoding, because chains are computed from
// encoded changes.
func newEncMode() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339Nano
	options.TextMarshaler = cbor.TextMarshalerNone
	mode, err := options.EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  maxNestingDepth,
		MaxArrayElements: MaxBookSize,
		MaxMapPairs:      MaxBookSize,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// mustEncode encodes a value of this package's types, all of which can be encoded.
func mustEncode(v any) []byte {
	data, err := encMode.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

func encodeChange(c Change) []byte { return mustEncode(c) }

// Encode returns the stored form of a book.
func Encode(b Book) []byte { return mustEncode(b) }

// Decode parses the stored form of a book and verifies it. Empty data is the
// empty book before the first change.
func Decode(data []byte) (b Book, err error) {
	defer func() { err = errors.Wrap(err, "decoding the book of profiles") }()
	if len(data) == 0 {
		return Book{}, nil
	}
	if len(data) > MaxBookSize {
		return Book{}, errors.Newf("%d bytes are above the bound of %d", len(data), MaxBookSize)
	}
	if err := decMode.Unmarshal(data, &b); err != nil {
		return Book{}, err
	}
	if err := b.Verify(); err != nil {
		return Book{}, err
	}
	return b, nil
}

// decodeChanges parses the changes in a peer's message.
func decodeChanges(data []byte) (changes []Change, err error) {
	defer func() { err = errors.Wrap(err, "decoding changes") }()
	if len(data) > MaxBookSize {
		return nil, errors.Newf("%d bytes are above the bound of %d", len(data), MaxBookSize)
	}
	err = decMode.Unmarshal(data, &changes)
	return changes, err
}

// Verify checks that the book is consistent: the tables are within their limits,
// the profiles are ordered by name, and the history leads to the book's version
// and chain.
func (b Book) Verify() error {
	if len(b.Profiles) > MaxProfiles || len(b.Tokens) > MaxTokens || len(b.Changes) > MaxHistory || len(b.RecentRequests) > MaxRecentRequests || len(b.Evacuations) > MaxEvacuations {
		return errors.New("a table is above its bound")
	}
	sorted := slices.IsSortedFunc(b.Profiles, func(x, y Entry) int {
		return cmp.Or(cmp.Compare(x.Profile.Name, y.Profile.Name), 1) // a duplicate name counts as out of order
	})
	if !sorted {
		return errors.New("the profiles are not ordered by name")
	}
	for _, e := range b.Profiles {
		if e.Version > b.Version {
			return errors.Newf("profile %s is newer than the book", e.Profile.Name)
		}
	}
	return b.verifyHistory()
}

func (b Book) verifyHistory() error {
	chain, size := b.ChainBeforeChanges, 0
	version := b.Version - min(b.Version, identifier.ProfileVersion(len(b.Changes)))
	for _, c := range b.Changes {
		version++
		if c.Version != version {
			return errors.Newf("change %s is at version %d, not at %d", c.ID, c.Version, version)
		}
		chain = chain.next(c)
		size += len(encodeChange(c))
	}
	if size != b.HistoryBytes {
		return errors.Newf("the history takes %d bytes, the book says %d", size, b.HistoryBytes)
	}
	if version != b.Version || chain != b.Chain {
		return errors.Newf("the history leads to version %d and chain %v, the book says %d and %v", version, chain, b.Version, b.Chain)
	}
	return nil
}
