package profilekeeper_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
	"github.com/peppertrack/peppertrack/internal/profilekeeper"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

// session runs a script against a world and writes what the VMs do: when they
// begin and stop to watch the store, what they send but for digests, and what
// they adopt.
type session struct {
	world   *world
	start   time.Time
	out     *bytes.Buffer
	digests int
}

func (s *session) note(v *vm, effect profilekeeper.Effect) {
	what := ""
	switch e := effect.(type) {
	case profilekeeper.Adopted:
		what = fmt.Sprintf("adopts version %d", e.Book.Version)
	case profilekeeper.ReadBook:
		what = "reads the store"
	case profilekeeper.StopWatch:
		what = "stops to watch the store"
	case profilekeeper.Send:
		what = s.describe(e)
	}
	if what != "" {
		fmt.Fprintf(s.out, "%8v %s %s\n", s.world.now.Sub(s.start), v.peer.Member, what)
	}
}

func (s *session) describe(e profilekeeper.Send) string {
	switch m := e.Message.(type) {
	case peermessenger.ProfileDigest:
		s.digests++
	case peermessenger.ProfilePull:
		return fmt.Sprintf("asks %s for what follows version %d", e.To, m.Version)
	case peermessenger.ProfileChanges:
		return fmt.Sprintf("sends %s the changes after version %d", e.To, m.Version)
	case peermessenger.ProfileBook:
		return fmt.Sprintf("sends %s the whole book", e.To)
	}
	return ""
}

func (s *session) find(name string) *vm {
	for _, v := range s.world.vms {
		if string(v.peer.Member.VM) == name {
			return v
		}
	}
	return nil
}

// do runs one line of a script.
func (s *session) do(line string) error {
	w, parts := s.world, append(strings.Fields(line), "", "")
	v := s.find(parts[1])
	domain, other := identifier.FailureDomain(parts[1]), identifier.FailureDomain(parts[2])
	switch parts[0] {
	case "boot":
		w.boot(identifier.VMID(parts[1]), other)
	case "kill":
		v.dead = true
		w.relink()
	case "pause":
		v.paused = true
	case "resume":
		v.paused = false
		w.relink()
	case "write":
		p := profileparser.Default()
		p.Name = identifier.ProfileName(parts[2])
		w.write(v, profilekeeper.CreateProfile{Profile: p})
	case "cut", "join":
		w.cuts[domainPair(domain, other)] = parts[0] == "cut"
		w.relink()
	case "cutstore", "joinstore":
		w.store.cut[domain] = parts[0] == "cutstore"
	case "store":
		w.store.down = parts[1] == "down"
	case "run":
		d, err := time.ParseDuration(parts[1])
		if err != nil {
			return err
		}
		w.run(d)
	default:
		return fmt.Errorf("unknown command %q", line)
	}
	return nil
}

// TestSessions runs each testdata/sessions/*.txt and compares what the VMs do
// with the golden file of its name.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/sessions/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no sessions: %v", err)
	}
	g := goldie.New(t, goldie.WithFixtureDir("testdata/sessions"))
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".txt")
		t.Run(name, func(t *testing.T) {
			script, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			s := &session{world: newWorld(1, noDefect), out: &bytes.Buffer{}}
			s.start, s.world.onEffect = s.world.now, s.note
			synctest.Test(t, func(t *testing.T) {
				for line := range strings.Lines(string(script)) {
					line = strings.TrimSpace(line)
					fmt.Fprintln(s.out, ">", line)
					if line == "" || line[0] == '#' {
						continue
					}
					if err := s.do(line); err != nil {
						t.Fatal(err)
					}
				}
			})
			fmt.Fprintf(s.out, "%d digests\n", s.digests)
			if s.world.violated != nil {
				t.Error(s.world.violated)
			}
			g.Assert(t, name, s.out.Bytes())
		})
	}
}
