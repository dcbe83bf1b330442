package burnreporter

import (
	"bytes"
	"flag"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.shrinktime": "2s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

var testNow = time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)

func observation(team identifier.Team, ending declarer.Ending, ratio float64) Observation {
	return Observation{
		Team:          team,
		Profile:       "orderDesk",
		Ending:        ending,
		Response:      time.Duration(ratio * float64(100*time.Millisecond)),
		IdealDuration: 100 * time.Millisecond,
		Objective:     Objective{Target: 0.99, ResponseOverIdeal: 1.5},
	}
}

func TestEventClasses(t *testing.T) {
	for name, c := range map[string]struct {
		o    Observation
		want eventClass
	}{
		"in time":               {observation("t", declarer.Complete{}, 1.5), good},
		"late":                  {observation("t", declarer.Complete{}, 1.6), bad},
		"failed":                {observation("t", declarer.Failed{Cause: declarer.TaskFailed}, 1), bad},
		"cancelled":             {observation("t", declarer.Failed{Cause: declarer.Cancelled}, 1), ignored},
		"shed":                  {observation("t", declarer.Refused{Cause: declarer.QueueFull}, 1), bad},
		"does not fit":          {observation("t", declarer.Refused{Cause: declarer.DoesNotFit}, 1), ignored},
		"can't be verified":     {observation("t", declarer.Unverifiable{}, 1), bad},
		"another body":          {observation("t", declarer.Unverifiable{Cause: declarer.BodyMismatch}, 1), ignored},
		"no objective":          {Observation{Ending: declarer.Complete{}}, ignored},
		"no task ran":           {Observation{Ending: declarer.Complete{}, Response: time.Hour, Objective: Objective{Target: 0.9, ResponseOverIdeal: 1}}, good},
		"faster than the ideal": {observation("t", declarer.Complete{}, 0.9), good},
	} {
		if got := classOf(c.o); got != c.want {
			t.Errorf("%s: got %d, want %d", name, got, c.want)
		}
	}
}

// TestMergeEqualsOneRecorder checks that jobs spread over several entry VMs give
// the same rows as the same jobs on one.
func TestMergeEqualsOneRecorder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		recorders := []*Recorder{NewRecorder(), NewRecorder(), NewRecorder()}
		single := NewRecorder()
		for range rapid.IntRange(0, 30).Draw(t, "jobs") {
			ending := rapid.SampledFrom([]declarer.Ending{declarer.Complete{}, declarer.Failed{}, declarer.Refused{}}).Draw(t, "ending")
			o := observation(rapid.SampledFrom([]identifier.Team{"a", "b"}).Draw(t, "team"), ending, rapid.Float64Range(1, 4).Draw(t, "ratio"))
			at := testNow.Add(-time.Duration(rapid.IntRange(0, 7*3600).Draw(t, "age")) * time.Second)
			recorders[rapid.IntRange(0, 2).Draw(t, "vm")].Observe(at, o)
			single.Observe(at, o)
		}
		var snapshots []Snapshot
		for i, r := range recorders {
			snapshots = append(snapshots, roundTrip(t, r, identifier.Incarnation(i)))
		}
		got, err := Merge(testNow, snapshots, nil)
		if err != nil {
			t.Fatal(err)
		}
		want, err := Merge(testNow, []Snapshot{roundTrip(t, single, 0)}, nil)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want.Rows, got.Rows); diff != "" {
			t.Fatal(diff)
		}
	})
}

type fataler interface {
	Fatal(args ...any)
}

// roundTrip returns a recorder's snapshot as a peer receives it.
func roundTrip(t fataler, r *Recorder, incarnation identifier.Incarnation) Snapshot {
	s, err := r.Snapshot(testNow, identifier.Member{VM: "vm", Incarnation: incarnation})
	if err != nil {
		t.Fatal(err)
	}
	data, err := Encode(s)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}

func sampleReport(t *testing.T) Report {
	t.Helper()
	r := NewRecorder()
	for i := range 400 {
		at := testNow.Add(-time.Duration(i) * time.Minute)
		ending := declarer.Ending(declarer.Complete{})
		if i%50 == 0 {
			ending = declarer.Failed{Cause: declarer.BackendLost}
		}
		r.Observe(at, observation("buyers", ending, 1+float64(i%10)/20))
	}
	report, err := Merge(testNow, []Snapshot{roundTrip(t, r, 1)}, []MissingVM{{VM: "perth-b-1", Reason: "no link to it stands"}})
	if err != nil {
		t.Fatal(err)
	}
	return report
}

func TestText(t *testing.T) {
	var out bytes.Buffer
	if err := WriteText(&out, sampleReport(t)); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "report", out.Bytes())
}

func TestPageNeedsNoOtherFile(t *testing.T) {
	var out bytes.Buffer
	if err := WriteHTML(&out, sampleReport(t)); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<svg", "perth-b-1: no link to it stands", "buyers"} {
		if !bytes.Contains(out.Bytes(), []byte(want)) {
			t.Errorf("the page lacks %q", want)
		}
	}
	for _, reference := range []string{"<script", "src=", "<link"} {
		if bytes.Contains(out.Bytes(), []byte(reference)) {
			t.Errorf("the page refers to another file: %q", reference)
		}
	}
}

// FuzzDecode checks that no snapshot from a peer makes Decode or Merge panic.
func FuzzDecode(f *testing.F) {
	s, err := NewRecorder().Snapshot(testNow, identifier.Member{VM: "vm"})
	if err != nil {
		f.Fatal(err)
	}
	data, err := Encode(s)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Decode(data)
		if err != nil {
			return
		}
		if _, err := Merge(testNow, []Snapshot{s}, nil); err != nil {
			t.Skip()
		}
	})
}
