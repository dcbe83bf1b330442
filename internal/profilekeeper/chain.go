package profilekeeper

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Chain is one hash over all changes up to a version, computed by hashing each
// change with the chain before it. Two books with the same version and chain almost
// certainly have the same changes.
type Chain uint64

const chainLength = 8 // bytes

// next returns the chain after one more change.
func (c Chain) next(change Change) Chain {
	var d xxhash.Digest
	_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(c)))
	_, _ = d.Write(encodeChange(change))
	return Chain(d.Sum64())
}

// String returns the chain in hexadecimal.
func (c Chain) String() string {
	return hex.EncodeToString(binary.BigEndian.AppendUint64(nil, uint64(c)))
}

// MarshalText returns the chain in hexadecimal.
func (c Chain) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText parses a chain in hexadecimal.
func (c *Chain) UnmarshalText(text []byte) error {
	data, err := hex.DecodeString(string(text))
	if err != nil || len(data) != chainLength {
		return errors.Newf("a chain must be %d hexadecimal digits", 2*chainLength)
	}
	*c = Chain(binary.BigEndian.Uint64(data))
	return nil
}
