package capacityplanner

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
)

// Size is the size of a deployment and the budgets that it must keep within.
type Size struct {
	BackendServers        float64 `yaml:"backendServers"`
	SlotsPerServer        float64 `yaml:"slotsPerServer"`
	StartsPerSecond       float64 `yaml:"startsPerSecond"`
	TasksPerJob           float64 `yaml:"tasksPerJob"`
	Teams                 float64 `yaml:"teams"`
	Profiles              float64 `yaml:"profiles"`
	FailureDomains        float64 `yaml:"failureDomains"`
	Regions               float64 `yaml:"regions"`
	ChangesPerDay         float64 `yaml:"changesPerDay"`
	VMsReplacedPerDay     float64 `yaml:"vmsReplacedPerDay"`
	VMsFailedPerDay       float64 `yaml:"vmsFailedPerDay"`
	RetentionSeconds      float64 `yaml:"retentionSeconds"`
	AnswerBytes           float64 `yaml:"answerBytes"`
	CoresPerEntryVM       float64 `yaml:"coresPerEntryVM"`
	CoreUtilization       float64 `yaml:"useOfCores"`
	ControlCoreShare      float64 `yaml:"controlCoreShare"`
	ControlMebibytes      float64 `yaml:"controlMebibytes"`
	ControlBytesPerSecond float64 `yaml:"controlBytesPerSecond"`
	StoreReadsPerSecond   float64 `yaml:"storeReadsPerSecond"`
	StoreWritesPerSecond  float64 `yaml:"storeWritesPerSecond"`
}

// ParseSize reads a size from YAML. It rejects unknown fields.
func ParseSize(data []byte) (size Size, err error) {
	defer func() { err = errors.Wrap(err, "reading the size") }()
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(&size); err != nil {
		return Size{}, err
	}
	if size.FailureDomains <= 0 || size.TasksPerJob <= 0 || size.CoresPerEntryVM <= 0 || size.CoreUtilization <= 0 {
		return Size{}, errors.New("failureDomains, tasksPerJob, coresPerEntryVM and useOfCores must be above 0")
	}
	return size, nil
}
