package crashcounter

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

func lostRun(task string, number int, description string) peermessenger.LostRun {
	cause := peermessenger.ServerSilent
	if strings.HasPrefix(description, "crashed") {
		cause = peermessenger.ServerCrashed
	}
	return peermessenger.LostRun{
		Run:     identifier.RunRef{Task: identifier.TaskRef{Submission: identifier.SubmissionID(task)}, Number: identifier.RunNumber(number)},
		Backend: identifier.BackendID(fmt.Sprintf("s-%d", number)), Cause: cause, Alone: strings.HasSuffix(description, "alone"),
	}
}

// TestVerdict checks the verdicts listed in testdata/verdicts.yaml.
func TestVerdict(t *testing.T) {
	data, err := os.ReadFile("testdata/verdicts.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Name   string   `yaml:"name"`
		Losses []string `yaml:"losses"`
		Want   string   `yaml:"want"`
	}
	if err := yaml.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, test := range cases {
		c := New()
		for i, l := range test.Losses {
			c.Record(time.Unix(100, 0), lostRun("a", i, l))
		}
		if got := c.Verdict(identifier.TaskRef{Submission: "a"}).String(); got != test.Want {
			t.Errorf("%s: %s, want %s", test.Name, got, test.Want)
		}
	}
}

// TestRunCountsOnce guards against reports of several VMs about one lost run that count as
// several crashes.
func TestRunCountsOnce(t *testing.T) {
	now := time.Unix(100, 0)
	c := New()
	for i, test := range []struct {
		loss string
		new  bool
	}{{"silent", true}, {"silent", false}, {"crashed", true}, {"crashed", false}, {"silent", false}} {
		if got := c.Record(now, lostRun("a", 1, test.loss)); got != test.new {
			t.Errorf("report %d (%s): new is %v", i, test.loss, got)
		}
	}
	if got := len(c.Losses(identifier.TaskRef{Submission: "a"})); got != 1 {
		t.Errorf("%d losses", got)
	}
}

// TestCounterIsBounded guards against a counter that grows with each task, or that forgets
// a task that still loses runs.
func TestCounterIsBounded(t *testing.T) {
	now := time.Unix(100, 0)
	c := New()
	c.Record(now, lostRun("kept", 1, "crashed"))
	for i := range 3 * maxTasks {
		now = now.Add(time.Millisecond)
		c.Record(now, lostRun(fmt.Sprint(i), 1, "crashed"))
		if i == maxTasks/2 {
			c.Record(now, lostRun("kept", 2, "crashed alone"))
		}
		if i == maxTasks+maxTasks/4 && c.Verdict(identifier.TaskRef{Submission: "kept"}) != GiveUp {
			t.Error("a task was forgotten before others with older losses")
		}
	}
	if len(c.tasks) > maxTasks || len(c.recent) > 2*maxTasks {
		t.Errorf("%d tasks, %d losses", len(c.tasks), len(c.recent))
	}
	c.Record(now.Add(2*retention), lostRun("last", 1, "crashed"))
	if len(c.tasks) != 1 || len(c.recent) != 1 {
		t.Errorf("%d tasks and %d losses after the retention", len(c.tasks), len(c.recent))
	}
}

// TestLearnedSince checks which losses are reported again.
func TestLearnedSince(t *testing.T) {
	now := time.Unix(100, 0)
	c := New()
	for i := range 5 {
		c.Record(now.Add(time.Duration(i)*time.Second), lostRun("a", i, "crashed"))
		c.Record(now.Add(time.Duration(i)*time.Second), lostRun("b", i, "silent"))
	}
	for _, test := range []struct {
		after time.Duration
		limit int
		want  int
	}{{-time.Second, 100, 8}, {time.Second, 100, 4}, {time.Second, 3, 3}, {time.Minute, 3, 0}} {
		if got := len(c.LearnedSince(now.Add(test.after), test.limit)); got != test.want {
			t.Errorf("since %v, at most %d: %d losses, want %d", test.after, test.limit, got, test.want)
		}
	}
}
