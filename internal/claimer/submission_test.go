package claimer

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

func TestParseSubmission(t *testing.T) {
	made := time.UnixMilli(0x0190_0000_0000).UTC()
	given := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	const id = "01900000-0000-7000-8000-000000000001"
	tests := []struct {
		id        identifier.SubmissionID
		createdAt time.Time
		domain    identifier.FailureDomain
		want      time.Time
		field     string
	}{
		{id: id, want: made},
		{id: "perth-a." + id, domain: "perth-a", want: made},
		{id: "perth-a." + id, createdAt: given, domain: "perth-a", want: made},
		{id: "perth.a." + id, domain: "perth.a", want: made},
		{id: "order:7", createdAt: given, want: given},
		{id: "order:7", field: "createdAt"},
		{id: "", field: "submissionId"},
		{id: "order 7", createdAt: given, field: "submissionId"},
		{id: "order/7", createdAt: given, field: "submissionId"},
		{id: identifier.SubmissionID(strings.Repeat("a", 161)), createdAt: given, field: "submissionId"},
	}
	for _, tt := range tests {
		s, err := ParseSubmission(tt.id, tt.createdAt)
		var submissionErr *SubmissionError
		if errors.As(err, &submissionErr) != (tt.field != "") || tt.field != "" && submissionErr.Field != tt.field {
			t.Errorf("ParseSubmission(%q) error = %v, want field %q", tt.id, err, tt.field)
			continue
		}
		if s.Domain != tt.domain || !s.CreatedAt.Equal(tt.want) {
			t.Errorf("ParseSubmission(%q) = %q, %v; want %q, %v", tt.id, s.Domain, s.CreatedAt, tt.domain, tt.want)
		}
	}
}
