package claimer

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Bounds of a submission id.
const (
	// MaxSubmissionLength bounds a submission id, in bytes.
	MaxSubmissionLength = 160
	// MaxDomainLength bounds the failure domain in an id, in bytes.
	MaxDomainLength = 64
)

const (
	domainSeparator = "."
	uuidLength      = 36
	timeUUIDVersion = 7 // UUIDs that begin with their time of creation
)

// Submission is the parsed form of a submission id.
type Submission struct {
	ID        identifier.SubmissionID
	Domain    identifier.FailureDomain // empty if the id names none
	Shard     Shard
	CreatedAt time.Time
}

// SubmissionError says what is wrong with a submission id or its time of
// creation.
type SubmissionError struct {
	Field  string // of the request: submissionId or createdAt
	Detail string
}

// Error returns the field and the detail.
func (e *SubmissionError) Error() string { return e.Field + ": " + e.Detail }

// ParseSubmission parses a submission id. The id is a UUIDv7, optionally
// preceded by a failure domain and a dot, or an opaque id of letters, digits
// and the characters -_.:, for which createdAt must be set. An opaque id names a
// failure domain too, up to its last dot, if exactly 36 bytes follow this dot,
// the length of a UUID. createdAt is ignored for a UUIDv7, which contains its
// time of creation. Errors are of type *SubmissionError.
func ParseSubmission(id identifier.SubmissionID, createdAt time.Time) (s Submission, err error) {
	if err := checkCharacters(id); err != nil {
		return Submission{}, err
	}
	s = Submission{ID: id, Shard: shardOf(id), CreatedAt: createdAt.UTC().Truncate(time.Millisecond)}
	domain, rest, found := cutDomain(string(id))
	if created, ok := uuidTime(rest); ok {
		s.CreatedAt = created
		s.Domain = domain
		return s, nil
	}
	if found && len(rest) == uuidLength {
		s.Domain = domain
	}
	if createdAt.IsZero() {
		return Submission{}, &SubmissionError{"createdAt", "an id that is not a UUIDv7 needs its time of creation"}
	}
	return s, nil
}

func checkCharacters(id identifier.SubmissionID) error {
	if id == "" {
		return &SubmissionError{"submissionId", "empty"}
	}
	if len(id) > MaxSubmissionLength {
		return &SubmissionError{"submissionId", "longer than 160 bytes"}
	}
	for i := range len(id) {
		if !isIDCharacter(id[i]) {
			return &SubmissionError{"submissionId", "a character is not a letter, a digit or one of -_.:"}
		}
	}
	return nil
}

func isIDCharacter(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return strings.IndexByte("-_.:", c) >= 0
}

// cutDomain splits an id of the form domain.uuid at its last dot. It does not
// check the part after the dot.
func cutDomain(id string) (domain identifier.FailureDomain, rest string, found bool) {
	i := strings.LastIndex(id, domainSeparator)
	if i <= 0 || i > MaxDomainLength {
		return "", id, false
	}
	return identifier.FailureDomain(id[:i]), id[i+1:], true
}

func uuidTime(s string) (created time.Time, ok bool) {
	if len(s) != uuidLength {
		return time.Time{}, false
	}
	u, err := uuid.Parse(s)
	if err != nil || u.Version() != timeUUIDVersion {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms).UTC(), true
}

// HashDomain returns the failure domain for an id that names none: the one with
// the highest rendezvous hash. It returns false when there are no domains.
func HashDomain(id identifier.SubmissionID, domains []identifier.FailureDomain) (domain identifier.FailureDomain, ok bool) {
	var best uint64
	for _, d := range domains {
		h := xxhash.Sum64String(string(d) + "/" + string(id))
		if !ok || h > best || h == best && d < domain {
			domain, best, ok = d, h, true
		}
	}
	return domain, ok
}
