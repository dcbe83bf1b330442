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

// session runs a script against a simulation and logs what the VMs do: when they
// read the store or stop watching it, which messages other than digests they send,
// and which versions they adopt.
type session struct {
	simulation *simulation
	start      time.Time
	out        *bytes.Buffer
	digests    int
}

func (s *session) recordEffect(v *vm, effect profilekeeper.Effect) {
	what := ""
	switch e := effect.(type) {
	case profilekeeper.BookAdopted:
		what = fmt.Sprintf("adopts version %d", e.Book.Version)
	case profilekeeper.BookConfirmed:
		what = fmt.Sprintf("knows that its book was the newest %v ago", s.simulation.now.Sub(e.AsOf))
	case profilekeeper.ReadBook:
		what = "reads the store"
	case profilekeeper.CancelStoreCall:
		what = "stops watching the store"
	case profilekeeper.Send:
		what = s.describe(e)
	}
	if what != "" {
		fmt.Fprintf(s.out, "%8v %s %s\n", s.simulation.now.Sub(s.start), v.peer.Member, what)
	}
}

func (s *session) describe(e profilekeeper.Send) string {
	switch m := e.Message.(type) {
	case peermessenger.ProfileDigest:
		s.digests++
	case peermessenger.ProfilePull:
		return fmt.Sprintf("asks %s for the changes after version %d", e.To, m.Version)
	case peermessenger.ProfileChanges:
		return fmt.Sprintf("sends %s the changes after version %d", e.To, m.Version)
	case peermessenger.ProfileBook:
		return fmt.Sprintf("sends %s the full book", e.To)
	}
	return ""
}

func (s *session) findVM(name string) *vm {
	for _, v := range s.simulation.vms {
		if string(v.peer.Member.VM) == name {
			return v
		}
	}
	return nil
}

// runLine executes one command line of a script.
func (s *session) runLine(line string) error {
	sim, parts := s.simulation, append(strings.Fields(line), "", "")
	v := s.findVM(parts[1])
	domain, other := identifier.FailureDomain(parts[1]), identifier.FailureDomain(parts[2])
	switch parts[0] {
	case "boot":
		sim.boot(identifier.VMID(parts[1]), other)
	case "kill":
		v.stopped = true
		sim.updateLinks()
	case "pause":
		v.paused = true
	case "resume":
		v.paused = false
		sim.updateLinks()
	case "verify":
		sim.step(v, profilekeeper.VerifyRequested{})
	case "write":
		p := profileparser.Default()
		p.Name = identifier.ProfileName(parts[2])
		sim.write(v, profilekeeper.CreateProfile{Profile: p})
	case "cut", "join":
		sim.partitions[domainPair(domain, other)] = parts[0] == "cut"
		sim.updateLinks()
	case "cutstore", "joinstore":
		sim.store.cutDomains[domain] = parts[0] == "cutstore"
	case "store":
		sim.store.down = parts[1] == "down"
	case "run":
		d, err := time.ParseDuration(parts[1])
		if err != nil {
			return err
		}
		sim.run(d)
	default:
		return fmt.Errorf("unknown command %q", line)
	}
	return nil
}

// TestSessions runs each script testdata/sessions/*.txt and compares the log of the
// VMs' actions with the golden file of the same name.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/sessions/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts in testdata/sessions: %v", err)
	}
	g := goldie.New(t, goldie.WithFixtureDir("testdata/sessions"))
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".txt")
		t.Run(name, func(t *testing.T) {
			script, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			s := &session{simulation: newSimulation(1, noDefect), out: &bytes.Buffer{}}
			s.start, s.simulation.onEffect = s.simulation.now, s.recordEffect
			synctest.Test(t, func(t *testing.T) {
				for line := range strings.Lines(string(script)) {
					line = strings.TrimSpace(line)
					fmt.Fprintln(s.out, ">", line)
					if line == "" || line[0] == '#' {
						continue
					}
					if err := s.runLine(line); err != nil {
						t.Fatal(err)
					}
				}
			})
			fmt.Fprintf(s.out, "%d digests\n", s.digests)
			if s.simulation.violation != nil {
				t.Error(s.simulation.violation)
			}
			g.Assert(t, name, s.out.Bytes())
		})
	}
}
