package experimenter

import (
	"io"
	"regexp"
	"time"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/loader"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

// Bounds of a Scenario.
const (
	maxScenarioFile = 1 << 20 // bytes
	maxFaults       = 100
	maxDomains      = 8
	maxVMsPerDomain = 8
	maxBackends     = 200
	maxSlots        = 64
)

// Scenario describes an experiment: a system, a workload, the policies to compare,
// faults and targets.
type Scenario struct {
	Name        string                 `yaml:"name" json:"name"`
	Description string                 `yaml:"description" json:"description"`
	System      SystemSize             `yaml:"system" json:"system"`
	Policies    []profileparser.Policy `yaml:"policies" json:"policies"`
	Quota       identifier.Slots       `yaml:"quota" json:"quota"` // of each team; 0: the slots of the system
	Workload    loader.Workload        `yaml:"workload" json:"workload"`
	Faults      []FaultEntry           `yaml:"faults" json:"faults"`
	Targets     Targets                `yaml:"targets" json:"targets"`
}

// SystemSize is the size of the system that a scenario needs.
type SystemSize struct {
	FailureDomains    []identifier.FailureDomain `yaml:"failureDomains" json:"failureDomains"`
	EntryVMsPerDomain int                        `yaml:"entryVMsPerFailureDomain" json:"entryVMsPerFailureDomain"`
	BackendServers    int                        `yaml:"backendServers" json:"backendServers"`
	SlotsPerServer    identifier.Slots           `yaml:"slotsPerServer" json:"slotsPerServer"`
	WarmUp            time.Duration              `yaml:"warmUp" json:"warmUp"` // pause between readiness and the first job
}

// Targets are the bounds that each run should meet. Zero means no target.
type Targets struct {
	P99         float64       `yaml:"p99" json:"p99"` // ratio of the response time to the ideal
	WastedShare float64       `yaml:"wastedShare" json:"wastedShare"`
	Goodput     float64       `yaml:"goodput" json:"goodput"`
	RecoverIn   time.Duration `yaml:"recoverIn" json:"recoverIn"`
}

var scenarioNamePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Parse reads and validates a scenario in strict YAML. Fields of the system and
// the workload that are absent, and absent policies, take a default.
func Parse(r io.Reader) (s Scenario, err error) {
	defer func() { err = errors.Wrap(err, "reading the scenario") }()
	s = Scenario{
		System: SystemSize{
			FailureDomains:    []identifier.FailureDomain{"domain-a"},
			EntryVMsPerDomain: 3,
			BackendServers:    50,
			SlotsPerServer:    8,
		},
		Policies: []profileparser.Policy{profileparser.Random, profileparser.TwoChoices, profileparser.Reserve},
		Workload: loader.DefaultWorkload(),
	}
	d := yaml.NewDecoder(io.LimitReader(r, maxScenarioFile))
	d.KnownFields(true)
	if err := d.Decode(&s); err != nil {
		return Scenario{}, err
	}
	return s, s.Validate()
}

// Validate returns an error that names the first field out of bounds.
func (s Scenario) Validate() error {
	size := s.System
	checks := []struct {
		ok    bool
		field string
		want  string
	}{
		{scenarioNamePattern.MatchString(s.Name), "name", "1 to 63 lower-case letters, digits and hyphens, without a hyphen at the start"},
		{len(size.FailureDomains) >= 1 && len(size.FailureDomains) <= maxDomains, "system.failureDomains", "1 to 8 names"},
		{size.EntryVMsPerDomain >= 1 && size.EntryVMsPerDomain <= maxVMsPerDomain, "system.entryVMsPerFailureDomain", "from 1 to 8"},
		{size.BackendServers >= 1 && size.BackendServers <= maxBackends, "system.backendServers", "from 1 to 200"},
		{size.SlotsPerServer >= 1 && size.SlotsPerServer <= maxSlots, "system.slotsPerServer", "from 1 to 64"},
		{size.WarmUp >= 0, "system.warmUp", "at least 0"},
		{len(s.Policies) >= 1, "policies", "at least one"},
		{s.Quota >= 0, "quota", "at least 0"},
		{len(s.Faults) <= maxFaults, "faults", "at most 100"},
	}
	for _, check := range checks {
		if !check.ok {
			return errors.Newf("%s: must be %s", check.field, check.want)
		}
	}
	if err := s.Workload.Validate(); err != nil {
		return errors.Wrap(err, "workload")
	}
	return s.validateLists()
}

func (s Scenario) validateLists() error {
	for _, policy := range s.Policies {
		switch policy {
		case profileparser.Random, profileparser.TwoChoices, profileparser.Reserve:
		default:
			return errors.Newf("policies: %q is not random, twoChoices or reserve", policy)
		}
	}
	for i, entry := range s.Faults {
		if _, err := entry.fault(); err != nil {
			return errors.Wrapf(err, "faults[%d]", i)
		}
	}
	return nil
}

// Slots returns the slots of all backend servers.
func (s Scenario) Slots() identifier.Slots {
	return identifier.Slots(s.System.BackendServers) * s.System.SlotsPerServer
}

// profile returns the profile of the workload's jobs with a placement policy.
func (s Scenario) profile(policy profileparser.Policy) profileparser.Profile {
	p := profileparser.Default()
	p.Name = s.Workload.Profile
	p.Placement.Policy = policy
	p.DefaultQuota = s.Slots()
	if s.Quota > 0 {
		p.DefaultQuota = s.Quota
	}
	return p
}
