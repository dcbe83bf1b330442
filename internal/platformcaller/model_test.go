package platformcaller_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/peppertrack/peppertrack/internal/platformcaller"
)

// TestFakeServiceAgreesWithAModel compares the service with a map over random swaps and
// faults. A swap whose error promises no effect must have none, a swap with an unknown
// outcome may have taken effect, and revisions must grow.
func TestFakeServiceAgreesWithAModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := platformcaller.NewFakeService(platformcaller.FakeOptions{Seed: rapid.Uint64().Draw(t, "seed")})
		defer m.Close()
		model := &storeModel{fake: m, values: make(map[string]platformcaller.Value)}
		t.Repeat(map[string]func(*rapid.T){
			"swap":   model.swap,
			"faults": model.setFaults,
			"":       model.check,
		})
	})
}

type storeModel struct {
	fake   *platformcaller.FakeService
	values map[string]platformcaller.Value
	latest platformcaller.Revision
	writes int
}

func (s *storeModel) setFaults(t *rapid.T) {
	s.fake.SetFaults(platformcaller.Faults{
		Down:                    rapid.IntRange(0, 4).Draw(t, "down") == 0,
		LoseResponses:           rapid.IntRange(0, 1).Draw(t, "lose"),
		LoseResponseProbability: rapid.Float64Range(0, 0.5).Draw(t, "probability"),
	})
}

func (s *storeModel) swap(t *rapid.T) {
	key := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
	expected := s.values[key].Revision
	if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
		expected = platformcaller.Revision(rapid.Uint64Range(0, 5).Draw(t, "expected"))
	}
	s.writes++
	data := fmt.Sprint(s.writes)
	r, err := s.fake.CompareAndSwap(context.Background(), key, expected, []byte(data))
	var unknown *platformcaller.OutcomeUnknownError
	switch {
	case err == nil:
		s.accept(t, key, expected, platformcaller.Value{Data: []byte(data), Revision: r})
	case errors.As(err, &unknown):
		s.accept(t, key, expected, s.read(t, key))
	case expected == s.values[key].Revision && !s.fake.Faults().Down:
		t.Fatalf("a swap at the current revision failed: %v", err)
	}
}

// accept checks that a swap that took effect was allowed to, and applies it to the
// model.
func (s *storeModel) accept(t *rapid.T, key string, expected platformcaller.Revision, v platformcaller.Value) {
	if expected != s.values[key].Revision {
		t.Fatalf("a swap at revision %d took effect over %d", expected, s.values[key].Revision)
	}
	if v.Revision <= s.latest {
		t.Fatalf("got revision %d after %d", v.Revision, s.latest)
	}
	s.latest = v.Revision
	s.values[key] = v
}

// read returns the value of a key without faults.
func (s *storeModel) read(t *rapid.T, key string) platformcaller.Value {
	faults := s.fake.Faults()
	defer s.fake.SetFaults(faults)
	s.fake.SetFaults(platformcaller.Faults{})
	v, err := s.fake.Get(context.Background(), key)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func (s *storeModel) check(t *rapid.T) {
	for key, want := range s.values {
		if got := s.read(t, key); got.Revision != want.Revision || string(got.Data) != string(want.Data) {
			t.Fatalf("key %s: got %v, want %v", key, got, want)
		}
	}
}
