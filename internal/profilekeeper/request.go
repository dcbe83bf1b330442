package profilekeeper

import (
	"regexp"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Limits of a request.
const (
	MaxOperations   = 500
	MaxReasonLength = 500 // bytes
	MaxAuthorLength = 64  // bytes
)

var changeIDPattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$`)

// Request is a set of operations that are applied atomically.
type Request struct {
	ID         identifier.ChangeID // of the request, which may hold several changes; the same for every attempt at it
	Author     string
	Reason     string
	At         time.Time
	Operations []Operation
}

// Acceptance is the result of an accepted request: the range of versions of
// the book that it made.
type Acceptance struct {
	ID       identifier.ChangeID       `json:"changeId"` // of the request
	First    identifier.ProfileVersion `json:"first"`
	Last     identifier.ProfileVersion `json:"last"`
	Repeated bool                      `json:"repeated"` // an earlier attempt was already accepted
}

func (r Request) check() error {
	switch {
	case !changeIDPattern.MatchString(string(r.ID)):
		return &InvalidRequestError{Field: "changeId", Problem: "is not a letter or digit, then up to 63 letters, digits, dots, hyphens and underscores"}
	case r.Author == "" || len(r.Author) > MaxAuthorLength:
		return &InvalidRequestError{Field: "author", Problem: "is empty or too long"}
	case r.Reason == "" || len(r.Reason) > MaxReasonLength:
		return &InvalidRequestError{Field: "reason", Problem: "is empty or too long"}
	case len(r.Operations) == 0 || len(r.Operations) > MaxOperations:
		return &InvalidRequestError{Field: "operations", Problem: "are none or too many"}
	}
	return nil
}

// hash returns a hash of the request's operations.
func (r Request) hash() uint64 {
	var d xxhash.Digest
	for _, o := range r.Operations {
		_, _ = d.Write([]byte{operationKind(o)})
		_, _ = d.Write(mustEncode(o))
	}
	return d.Sum64()
}
