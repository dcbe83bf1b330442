package experimenter

import (
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/standin/backendserver"
)

// Fault is a fault that a scenario injects. String describes it in the journal.
type Fault interface {
	isFault()
	fmt.Stringer
}

// BackendFault replaces the faults of the selected backend servers.
type BackendFault struct {
	Selector backendserver.Selector
	Faults   backendserver.Faults
}

// ReplaceVMs shuts down every entry VM gracefully, one after the other, and
// replaces it by a new process at the same address.
type ReplaceVMs struct {
	Pause time.Duration // after each replacement
}

// KillVMs ends the entry VMs of failure domains at once, without a shutdown.
type KillVMs struct {
	FailureDomains []identifier.FailureDomain
}

// CutDomains cuts the links between the entry VMs of two failure domains.
type CutDomains struct {
	Between [2]identifier.FailureDomain
}

// HealDomains ends all cuts between failure domains.
type HealDomains struct{}

func (BackendFault) isFault() {}
func (ReplaceVMs) isFault()   {}
func (KillVMs) isFault()      {}
func (CutDomains) isFault()   {}
func (HealDomains) isFault()  {}

// String describes the fault.
func (f BackendFault) String() string {
	return fmt.Sprintf("set faults of backend servers %+v to %+v", f.Selector, f.Faults)
}

// String describes the fault.
func (f ReplaceVMs) String() string { return fmt.Sprintf("replace entry VMs, one every %v", f.Pause) }

// String describes the fault.
func (f KillVMs) String() string { return fmt.Sprintf("kill the entry VMs of %v", f.FailureDomains) }

// String describes the fault.
func (f CutDomains) String() string { return fmt.Sprintf("cut %s from %s", f.Between[0], f.Between[1]) }

// String describes the fault.
func (HealDomains) String() string { return "heal all cuts" }

// FaultEntry is a fault in a scenario file: a time and exactly one kind of fault.
type FaultEntry struct {
	At         time.Duration              `yaml:"at" json:"at"`
	For        time.Duration              `yaml:"for" json:"for"` // 0: until the end of the run
	Backends   *BackendsEntry             `yaml:"backends" json:"backends,omitempty"`
	Replace    *ReplaceEntry              `yaml:"replaceEntryVMs" json:"replaceEntryVMs,omitempty"`
	Kill       []identifier.FailureDomain `yaml:"killEntryVMsOf" json:"killEntryVMsOf,omitempty"`
	CutBetween []identifier.FailureDomain `yaml:"cutBetween" json:"cutBetween,omitempty"`
}

// ReplaceEntry says how entry VMs are replaced.
type ReplaceEntry struct {
	Pause time.Duration `yaml:"pause" json:"pause"`
}

// BackendsEntry selects backend servers and says which faults they have.
type BackendsEntry struct {
	Servers        []identifier.BackendID     `yaml:"servers" json:"servers,omitempty"`
	Racks          []identifier.RackID        `yaml:"racks" json:"racks,omitempty"`
	FailureDomains []identifier.FailureDomain `yaml:"failureDomains" json:"failureDomains,omitempty"`
	Dead           bool                       `yaml:"dead" json:"dead,omitempty"`
	Frozen         bool                       `yaml:"frozen" json:"frozen,omitempty"`
	Failing        bool                       `yaml:"failing" json:"failing,omitempty"`
	Leaving        bool                       `yaml:"leaving" json:"leaving,omitempty"`
	Straggle       float64                    `yaml:"straggle" json:"straggle,omitempty"`
}

func (b BackendsEntry) fault() BackendFault {
	return BackendFault{
		Selector: backendserver.Selector{Servers: b.Servers, Racks: b.Racks, FailureDomains: b.FailureDomains},
		Faults: backendserver.Faults{
			Dead: b.Dead, Frozen: b.Frozen, Failing: b.Failing, Leaving: b.Leaving, Straggle: b.Straggle,
		},
	}
}

// fault returns the fault of the entry, or an error that names the wrong field.
func (e FaultEntry) fault() (f Fault, err error) {
	var found []Fault
	if e.Backends != nil {
		found = append(found, e.Backends.fault())
	}
	if e.Replace != nil {
		found = append(found, ReplaceVMs(*e.Replace))
	}
	if len(e.Kill) > 0 {
		found = append(found, KillVMs{FailureDomains: e.Kill})
	}
	if len(e.CutBetween) > 0 {
		if len(e.CutBetween) != 2 {
			return nil, errors.New("cutBetween: must name exactly two failure domains")
		}
		found = append(found, CutDomains{Between: [2]identifier.FailureDomain(e.CutBetween)})
	}
	kinds := []string{"backends", "replaceEntryVMs", "killEntryVMsOf", "cutBetween"}
	switch {
	case len(found) != 1:
		return nil, errors.Newf("must have exactly one of %s", strings.Join(kinds, ", "))
	case e.At < 0 || e.For < 0:
		return nil, errors.New("at and for: must be at least 0")
	case e.For > 0 && e.removal() == nil:
		return nil, errors.New("for: this kind of fault can't be removed")
	}
	return found[0], nil
}

// removal returns the fault that removes the entry's fault; nil if this kind
// can't be removed.
func (e FaultEntry) removal() Fault {
	switch {
	case e.Backends != nil:
		return BackendFault{Selector: e.Backends.fault().Selector}
	case len(e.CutBetween) > 0:
		return HealDomains{}
	default:
		return nil
	}
}
