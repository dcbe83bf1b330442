package dispatcher

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

// TestNoRefusalByProfilesOfBeforeAPause guards against jobs that a resumed VM judges by
// the profiles that it knew before its pause.
func TestNoRefusalByProfilesOfBeforeAPause(t *testing.T) {
	old, added := profileparser.Default(), profileparser.Default()
	old.Name, added.Name = "old", "added"
	adopted := ProfilesAdopted{Profiles: map[identifier.ProfileName]profileparser.Profile{"old": old, "added": added}}
	for name, c := range map[string]struct {
		asOf  time.Duration // of the store's confirmation, from the end of the pause; below -1 s: there is none
		after time.Duration // when the job arrives
		known bool          // the profile has arrived
		want  declarer.RefusalCause
	}{
		"no answer yet":                       {asOf: -time.Hour, want: declarer.NoCapacity},
		"a read that began before the pause":  {asOf: -time.Millisecond, want: declarer.NoCapacity},
		"a read that began after it":          {known: true},
		"a store that doesn't answer":         {asOf: -time.Hour, after: profilesCheckTime, want: declarer.UnknownProfile},
		"the profile comes from a peer first": {asOf: -time.Hour, known: true, want: declarer.NoCapacity},
	} {
		t.Run(name, func(t *testing.T) {
			m, now := newTestMachine(old)
			asked := false
			for _, e := range m.Step(now, Resumed{Gap: time.Minute}) {
				_, ok := e.(ReadProfiles)
				asked = asked || ok
			}
			if !asked {
				t.Error("the store isn't asked")
			}
			if c.known {
				m.Step(now, adopted)
			}
			if c.asOf > -time.Second {
				m.Step(now, ProfilesConfirmed{AsOf: now.Add(c.asOf)})
			}
			now = now.Add(c.after)
			m.Step(now, Tick{})
			job := declarer.Job{
				Submission: identifier.SubmissionID("a." + uuidAt(now, rand.New(rand.NewPCG(3, 3)))),
				Team:       "t", Profile: "added", Tasks: []declarer.Task{{}},
			}
			got := firstReply(m.Step(now, SubmitRequested{Request: 1, Job: job}))
			if refused, _ := got.Ending.(declarer.Refused); refused.Cause != c.want {
				t.Errorf("got %+v, want %q", got, c.want)
			}
		})
	}
}
