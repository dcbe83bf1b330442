package profileparser

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// TestParseFaults parses each testdata/invalid/*.yaml and compares the faults with
// the golden file of the same name.
func TestParseFaults(t *testing.T) {
	files, err := filepath.Glob("testdata/invalid/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no files in testdata/invalid: %v", err)
	}
	g := goldie.New(t, goldie.WithFixtureDir("testdata/invalid"))
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".yaml")
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			profiles, err := Parse(filepath.Base(file), data)
			var invalid *InvalidError
			if !errors.As(err, &invalid) {
				t.Fatalf("Parse() = %v, %v, want an *InvalidError", profiles, err)
			}
			g.Assert(t, name, []byte(err.Error()+"\n"))
		})
	}
}

func TestParseExamples(t *testing.T) {
	for file, want := range map[string]identifier.ProfileName{"orderdesk.yaml": "orderDesk", "bookingdesk.yaml": "bookingDesk"} {
		data, err := os.ReadFile(filepath.Join("../../examples/profiles", file))
		if err != nil {
			t.Fatal(err)
		}
		profiles, err := Parse(file, data)
		if err != nil {
			t.Fatal(err)
		}
		if len(profiles) != 1 || profiles[0].Name != want {
			t.Errorf("Parse(%s) = %v, want the profile %s", file, profiles, want)
		}
	}
}

func TestParseTakesDefaults(t *testing.T) {
	profiles, err := Parse("f", []byte("name: a"))
	if err != nil {
		t.Fatal(err)
	}
	want := Default()
	want.Name = "a"
	if !profiles[0].Equal(want) {
		t.Errorf("Parse() = %+v, want the defaults", profiles[0])
	}
}

// TestEncodeParse checks that a valid profile survives the round trip through YAML
// and through JSON.
func TestEncodeParse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawProfile(t)
		data, err := Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Parse("f", data)
		if err != nil {
			t.Fatalf("%v in\n%s", err, data)
		}
		if len(got) != 1 || !got[0].Equal(want) {
			t.Fatalf("Parse(Encode(p)) = %+v, want %+v", got, want)
		}
		text, err := want.MarshalJSON()
		if err != nil {
			t.Fatal(err)
		}
		var read Profile
		if err := read.UnmarshalJSON(text); err != nil || !read.Equal(want) {
			t.Fatalf("UnmarshalJSON(%s) = %+v, %v, want %+v", text, read, err, want)
		}
	})
}

func drawProfile(t *rapid.T) Profile {
	team := rapid.Map(rapid.StringMatching(`[a-z0-9][a-z0-9.-]{0,8}`), func(s string) identifier.Team { return identifier.Team(s) })
	slots := rapid.Map(rapid.IntRange(0, MaxQuota), func(n int) identifier.Slots { return identifier.Slots(n) })
	return Profile{
		Name:           identifier.ProfileName(rapid.StringMatching(`[a-z][a-zA-Z0-9]{0,20}`).Draw(t, "name")),
		Description:    rapid.StringMatching(`[ -~]{0,30}`).Draw(t, "description"),
		Deadline:       time.Duration(rapid.Int64Range(int64(MinDeadline), int64(MaxDeadline)).Draw(t, "deadline")),
		MaxTasks:       rapid.IntRange(1, MaxTasksPerJob).Draw(t, "maxTasks"),
		Priority:       rapid.IntRange(0, MaxPriority).Draw(t, "priority"),
		Weight:         rapid.IntRange(1, MaxWeight).Draw(t, "weight"),
		Quotas:         rapid.MapOfN(team, slots, 0, 5).Draw(t, "quotas"),
		DefaultQuota:   slots.Draw(t, "defaultQuota"),
		Repeatable:     rapid.Bool().Draw(t, "repeatable"),
		RetryFraction:  rapid.Float64Range(0, MaxRetryBudget).Draw(t, "retryBudget"),
		QueueBound:     rapid.IntRange(1, MaxQueueBound).Draw(t, "queueBound"),
		Cancellation:   rapid.SampledFrom([]Cancellation{Stop, LetRun}).Draw(t, "cancellation"),
		WhileStoreDown: rapid.SampledFrom([]UnreachableAction{Serve, Refuse}).Draw(t, "whileStoreDown"),
		WhileCutOff:    rapid.SampledFrom([]UnreachableAction{Serve, Refuse}).Draw(t, "whileCutOff"),
		Placement: Placement{
			Policy:         rapid.SampledFrom([]Policy{Reserve, TwoChoices, Random}).Draw(t, "policy"),
			Spill:          rapid.Bool().Draw(t, "spill"),
			ResponseWeight: rapid.IntRange(0, MaxWeight).Draw(t, "responseWeight"),
			MessageWeight:  rapid.IntRange(0, MaxWeight).Draw(t, "messageWeight"),
		},
		Objective: Objective{
			Target:            rapid.Float64Range(0, MaxTarget).Draw(t, "target"),
			ResponseOverIdeal: rapid.Float64Range(1, MaxResponseOverIdeal).Draw(t, "responseOverIdeal"),
			Window:            time.Duration(rapid.Int64Range(int64(MinWindow), int64(MaxWindow)).Draw(t, "window")),
		},
		Retired: rapid.Bool().Draw(t, "retired"),
	}
}

// FuzzParse checks that Parse does not panic, and that every profile it returns
// survives Encode and Parse unchanged.
func FuzzParse(f *testing.F) {
	files, _ := filepath.Glob("testdata/invalid/*.yaml")
	more, _ := filepath.Glob("../../examples/profiles/*.yaml")
	for _, file := range append(files, more...) {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		profiles, err := Parse("f", data)
		if err != nil {
			return
		}
		for _, p := range profiles {
			text, err := Encode(p)
			if err != nil {
				t.Fatal(err)
			}
			again, err := Parse("f", text)
			if err != nil || len(again) != 1 || !again[0].Equal(p) {
				t.Fatalf("Parse(Encode(%+v)) = %+v, %v", p, again, err)
			}
		}
	})
}
