package dispatcher

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/enroller"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

// newTestMachine returns the machine of the only entry VM in failure domain a. It
// has one profile and is linked to one peer in failure domain b.
func newTestMachine(p profileparser.Profile) (m *Machine, now time.Time) {
	now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	self := identifier.Member{VM: "vm", Incarnation: 1}
	m = New(Options{
		Self:       self,
		Domain:     "a",
		Domains:    []identifier.FailureDomain{"a", "b"},
		Rand:       rand.New(rand.NewPCG(1, 1)),
		Retention:  time.Hour,
		ClockBound: time.Second,
		Counters:   &Counters{},
	})
	m.Step(now, BackendsListed{Backends: simBackendList()})
	m.Step(now, RosterAdopted{Roster: enroller.NewRoster(now, "a", []enroller.RosterMember{{Member: self, Address: "x"}})})
	m.Step(now, PeerUp{Member: identifier.Member{VM: "other", Incarnation: 1}, Domain: "b"})
	m.Step(now, ProfilesAdopted{Profiles: map[identifier.ProfileName]profileparser.Profile{p.Name: p}})
	return m, now
}

// TestRefusals checks that a job that can't be served is refused with the cause,
// and that the same submission runs once the cause is gone.
func TestRefusals(t *testing.T) {
	plain := profileparser.Default()
	plain.Name = "p"
	with := func(change func(*profileparser.Profile)) profileparser.Profile {
		p := plain
		change(&p)
		return p
	}
	peerLost := PeerDown{Member: identifier.Member{VM: "other", Incarnation: 1}}
	for name, c := range map[string]struct {
		profile profileparser.Profile
		task    declarer.Task
		before  Event
		want    declarer.RefusalCause // empty: admitted
	}{
		"plain":               {profile: plain},
		"another profile":     {profile: with(func(p *profileparser.Profile) { p.Name = "q" }), want: declarer.UnknownProfile},
		"no profiles yet":     {profile: plain, before: ProfilesAdopted{}, want: declarer.NoCapacity},
		"retired":             {profile: with(func(p *profileparser.Profile) { p.Retired = true }), want: declarer.RetiredProfile},
		"too many tasks":      {profile: with(func(p *profileparser.Profile) { p.MaxTasks = 1 }), want: declarer.TooLarge},
		"too large a task":    {profile: plain, task: declarer.Task{Memory: 9000}, want: declarer.DoesNotFit},
		"store down, serve":   {profile: plain, before: PlatformReachable{}},
		"store down, refuse":  {profile: with(func(p *profileparser.Profile) { p.WhileStoreDown = profileparser.Refuse }), before: PlatformReachable{}, want: declarer.NoCapacity},
		"store up, refuse":    {profile: with(func(p *profileparser.Profile) { p.WhileStoreDown = profileparser.Refuse })},
		"cut off, serve":      {profile: plain, before: peerLost},
		"cut off, refuse":     {profile: with(func(p *profileparser.Profile) { p.WhileCutOff = profileparser.Refuse }), before: peerLost, want: declarer.NoCapacity},
		"linked, refuse":      {profile: with(func(p *profileparser.Profile) { p.WhileCutOff = profileparser.Refuse })},
		"no backend server":   {profile: plain, before: BackendsListed{}, want: declarer.NoCapacity},
		"deadline impossible": {profile: with(func(p *profileparser.Profile) { p.Deadline = time.Millisecond }), task: declarer.Task{RunTime: time.Second}, want: declarer.DeadlineTooShort},
	} {
		t.Run(name, func(t *testing.T) {
			m, now := newTestMachine(c.profile)
			if c.before != nil {
				m.Step(now, c.before)
			}
			job := declarer.Job{
				Submission: identifier.SubmissionID("a." + uuidAt(now, rand.New(rand.NewPCG(3, 3)))),
				Team:       "t",
				Profile:    "p",
				Tasks:      []declarer.Task{c.task, c.task},
			}
			got := firstReply(m.Step(now, SubmitRequested{Request: 1, Job: job}))
			if refused, _ := got.Ending.(declarer.Refused); refused.Cause != c.want {
				t.Fatalf("got %+v, want %q", got, c.want)
			}
			if c.want == "" {
				return
			}
			m.Step(now, ProfilesAdopted{Profiles: map[identifier.ProfileName]profileparser.Profile{"p": plain}})
			m.Step(now, PlatformReachable{Reachable: true})
			m.Step(now, BackendsListed{Backends: simBackendList()})
			job.Tasks = []declarer.Task{{}, {}}
			job.Attempt = 2
			again := firstReply(m.Step(now, SubmitRequested{Request: 2, Job: job}))
			if !again.Known || again.Ending != nil {
				t.Errorf("after a refusal the submission got %+v, want it to run", again)
			}
		})
	}
}

func firstReply(effects []Effect) declarer.Status {
	for _, effect := range effects {
		if r, ok := effect.(Reply); ok {
			return r.Status
		}
	}
	return declarer.Status{}
}
