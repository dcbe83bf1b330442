package jobsubmitter

import (
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// newSubmissionID returns a new submission id: a UUIDv7, preceded by the failure
// domain that is to hold the submission if that is known.
func newSubmissionID(domain identifier.FailureDomain) (id identifier.SubmissionID, err error) {
	u, err := uuid.NewV7()
	if err != nil {
		return "", errors.Wrap(err, "generating a submission id")
	}
	if domain == "" {
		return identifier.SubmissionID(u.String()), nil
	}
	return identifier.SubmissionID(string(domain) + "." + u.String()), nil
}
