package evacuator

import (
	"os"
	"slices"
	"testing"

	"go.yaml.in/yaml/v3"
	"pgregory.net/rapid"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// TestUpdate plays the histories in testdata/updates.yaml.
func TestUpdate(t *testing.T) {
	data, err := os.ReadFile("testdata/updates.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var histories []struct {
		Name  string `yaml:"name"`
		Steps []struct {
			Revision  uint64                     `yaml:"revision"`
			Domains   []identifier.FailureDomain `yaml:"domains"`
			From      Source                     `yaml:"from"`
			Evacuated []identifier.FailureDomain `yaml:"evacuated"`
			TakenBack []identifier.FailureDomain `yaml:"takenBack"`
			InForce   []identifier.FailureDomain `yaml:"inForce"`
		} `yaml:"steps"`
	}
	if err := yaml.Unmarshal(data, &histories); err != nil {
		t.Fatal(err)
	}
	for _, h := range histories {
		t.Run(h.Name, func(t *testing.T) {
			var s State
			for i, step := range h.Steps {
				c := s.Update(List{Revision: step.Revision, Domains: step.Domains}, step.From)
				if !slices.Equal(c.Evacuated, step.Evacuated) || !slices.Equal(c.TakenBack, step.TakenBack) {
					t.Errorf("step %d: got %+v", i, c)
				}
				if !slices.Equal(s.Domains(), step.InForce) {
					t.Errorf("step %d: in force is %v, want %v", i, s.Domains(), step.InForce)
				}
			}
		})
	}
}

// TestPeersAgree guards against VMs that keep different lists although they hear each
// other, whatever order the store's and the peers' words come in.
func TestPeersAgree(t *testing.T) {
	domains := []identifier.FailureDomain{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		states := make([]State, rapid.IntRange(2, 5).Draw(t, "vms"))
		stored := List{Revision: 1}
		tell := func(from, to int) {
			told, ok := states[from].Told()
			if ok {
				states[to].Update(told, FromPeer)
				states[to].Outdates(told)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				stored.Revision += uint64(rapid.IntRange(1, 3).Draw(t, "revisions"))
				stored.Domains = rapid.SliceOfDistinct(rapid.SampledFrom(domains), func(d identifier.FailureDomain) identifier.FailureDomain { return d }).Draw(t, "domains")
			case 1:
				states[rapid.IntRange(0, len(states)-1).Draw(t, "vm")].Update(stored, FromStore)
			case 2:
				tell(rapid.IntRange(0, len(states)-1).Draw(t, "from"), rapid.IntRange(0, len(states)-1).Draw(t, "to"))
			}
		}
		states[0].Update(stored, FromStore)
		for range 2 { // the second round reaches those that told an older list in the first
			for from := range states {
				for to := range states {
					tell(from, to)
				}
			}
		}
		want := states[0].Domains()
		for i := range states {
			if !slices.Equal(states[i].Domains(), want) {
				t.Fatalf("VM %d has %v, the store %v", i, states[i].Domains(), want)
			}
		}
	})
}
