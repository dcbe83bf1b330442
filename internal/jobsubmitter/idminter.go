package jobsubmitter

import (
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// mintID returns a fresh submission id: a UUIDv7, after the failure domain that
// is to hold it if that is known.
func mintID(domain identifier.FailureDomain) (id identifier.SubmissionID, err error) {
	u, err := uuid.NewV7()
	if err != nil {
		return "", errors.Wrap(err, "minting a submission id")
	}
	if domain == "" {
		return identifier.SubmissionID(u.String()), nil
	}
	return identifier.SubmissionID(string(domain) + "." + u.String()), nil
}
