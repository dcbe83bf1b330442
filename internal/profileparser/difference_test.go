package profileparser

import (
	"slices"
	"testing"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

func TestDifferences(t *testing.T) {
	old, changed := Default(), Default()
	old.Quotas = map[identifier.Team]identifier.Slots{"desk": 3}
	changed.Deadline = time.Second
	changed.Placement.Spill = false
	changed.Quotas = map[identifier.Team]identifier.Slots{"other": 4}
	want := []Difference{
		{"deadline", "10s", "1s"},
		{"placement.spill", "true", "false"},
		{"quotas.desk", "3", ""},
		{"quotas.other", "", "4"},
	}
	if got := Differences(old, changed); !slices.Equal(got, want) {
		t.Errorf("Differences() = %v, want %v", got, want)
	}
	if got := Differences(old, old); got != nil {
		t.Errorf("Differences() of equal profiles = %v, want nil", got)
	}
}
