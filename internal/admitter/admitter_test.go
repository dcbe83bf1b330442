package admitter

import (
	"os"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// TestDecide checks the decisions listed in testdata/decisions.yaml.
func TestDecide(t *testing.T) {
	data, err := os.ReadFile("testdata/decisions.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Name        string                `yaml:"name"`
		Capacity    identifier.Millicores `yaml:"capacity"`
		QueuedAhead int64                 `yaml:"ahead"`
		Unplaced    int64                 `yaml:"unplaced"`
		Slack       time.Duration         `yaml:"slack"`
		Admit       bool                  `yaml:"admit"`
		Wait        time.Duration         `yaml:"wait"`
		RetryAfter  time.Duration         `yaml:"retryAfter"`
	}
	if err := yaml.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		got := Decide(Fleet{Capacity: c.Capacity, QueuedAhead: c.QueuedAhead, Unplaced: c.Unplaced}, Job{Slack: c.Slack})
		if got.Admit != c.Admit || got.Wait.Round(time.Millisecond) != c.Wait || got.RetryAfter.Round(time.Millisecond) != c.RetryAfter {
			t.Errorf("%s: got %+v", c.Name, got)
		}
		if !got.Admit && got.Reason == "" {
			t.Errorf("%s: refused without a reason", c.Name)
		}
	}
}
