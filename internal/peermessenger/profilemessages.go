package peermessenger

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// ProfileDigest says which version of the book of profiles is in force at the
// sender.
type ProfileDigest struct {
	Version  identifier.ProfileVersion `cbor:"1,keyasint"`
	Chain    uint64                    `cbor:"2,keyasint"` // one hash over all changes up to the version
	Age      time.Duration             `cbor:"3,keyasint"` // since the store last confirmed the version; negative: never confirmed
	Watching bool                      `cbor:"4,keyasint"` // the sender watches the store for its failure domain
}

// ProfilePull asks for the changes that follow a version.
type ProfilePull struct {
	Version identifier.ProfileVersion `cbor:"1,keyasint"` // 0 asks for the full book
	Chain   uint64                    `cbor:"2,keyasint"`
}

// ProfileChanges holds the changes that follow a version.
type ProfileChanges struct {
	Version  identifier.ProfileVersion `cbor:"1,keyasint"` // the version that the changes follow
	Chain    uint64                    `cbor:"2,keyasint"` // of that version
	Changes  []byte                    `cbor:"3,keyasint"` // encoded by package profilekeeper
	Age      time.Duration             `cbor:"4,keyasint"` // as in ProfileDigest
	Watching bool                      `cbor:"5,keyasint"` // as in ProfileDigest
}

// ProfileBook holds a full book of profiles.
type ProfileBook struct {
	Book []byte        `cbor:"1,keyasint"` // encoded by package profilekeeper
	Age  time.Duration `cbor:"2,keyasint"` // as in ProfileDigest
}

func (ProfileDigest) isPeerMessage()  {}
func (ProfilePull) isPeerMessage()    {}
func (ProfileChanges) isPeerMessage() {}
func (ProfileBook) isPeerMessage()    {}
