package profileparser

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// document is the YAML and JSON form of a profile.
type document struct {
	Name           identifier.ProfileName               `yaml:"name" json:"name"`
	Description    string                               `yaml:"description,omitempty" json:"description,omitempty"`
	Deadline       textDuration                         `yaml:"deadline" json:"deadline"`
	MaxTasks       int                                  `yaml:"maxTasks" json:"maxTasks"`
	Priority       int                                  `yaml:"priority" json:"priority"`
	Weight         int                                  `yaml:"weight" json:"weight"`
	Quotas         map[identifier.Team]identifier.Slots `yaml:"quotas,omitempty" json:"quotas,omitempty"`
	DefaultQuota   identifier.Slots                     `yaml:"defaultQuota" json:"defaultQuota"`
	Repeatable     bool                                 `yaml:"repeatable" json:"repeatable"`
	RetryFraction  float64                              `yaml:"retryBudget" json:"retryBudget"`
	QueueBound     int                                  `yaml:"queueBound" json:"queueBound"`
	Cancellation   Cancellation                         `yaml:"cancellation" json:"cancellation"`
	Placement      placementDocument                    `yaml:"placement" json:"placement"`
	WhileStoreDown UnreachableAction                    `yaml:"whileStoreDown" json:"whileStoreDown"`
	WhileCutOff    UnreachableAction                    `yaml:"whileCutOff" json:"whileCutOff"`
	Objective      objectiveDocument                    `yaml:"objective" json:"objective"`
	Retired        bool                                 `yaml:"retired,omitempty" json:"retired,omitempty"`
}

type placementDocument struct {
	Policy         Policy `yaml:"policy" json:"policy"`
	Spill          bool   `yaml:"spill" json:"spill"`
	ResponseWeight int    `yaml:"responseWeight" json:"responseWeight"`
	MessageWeight  int    `yaml:"messageWeight" json:"messageWeight"`
}

type objectiveDocument struct {
	Target            float64      `yaml:"target" json:"target"`
	ResponseOverIdeal float64      `yaml:"responseOverIdeal" json:"responseOverIdeal"`
	Window            textDuration `yaml:"window" json:"window"`
}

// textDuration is a duration that is encoded as text with its unit.
type textDuration time.Duration

// MarshalText returns the duration as text with its unit.
func (d textDuration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

func newDocument(p Profile) document {
	return document{
		Name: p.Name, Description: p.Description,
		Deadline: textDuration(p.Deadline), MaxTasks: p.MaxTasks,
		Priority: p.Priority, Weight: p.Weight,
		Quotas: p.Quotas, DefaultQuota: p.DefaultQuota,
		Repeatable: p.Repeatable, RetryFraction: p.RetryFraction, QueueBound: p.QueueBound,
		Cancellation: p.Cancellation, Placement: placementDocument(p.Placement),
		WhileStoreDown: p.WhileStoreDown, WhileCutOff: p.WhileCutOff,
		Objective: objectiveDocument{p.Objective.Target, p.Objective.ResponseOverIdeal, textDuration(p.Objective.Window)},
		Retired:   p.Retired,
	}
}

// Encode returns a profile as YAML that Parse accepts. It omits the description,
// quotas and retired if they are empty or false.
func Encode(p Profile) (data []byte, err error) {
	defer func() { err = errors.Wrapf(err, "encoding profile %s", p.Name) }()
	var b bytes.Buffer
	e := yaml.NewEncoder(&b)
	e.SetIndent(2)
	if err := e.Encode(newDocument(p)); err != nil {
		return nil, err
	}
	return b.Bytes(), e.Close()
}

// MarshalJSON returns the profile as JSON with the same fields as the YAML form.
func (p Profile) MarshalJSON() ([]byte, error) { return json.Marshal(newDocument(p)) }

// UnmarshalJSON parses a profile as strictly as Parse, since JSON is valid YAML.
func (p *Profile) UnmarshalJSON(data []byte) error {
	profiles, err := Parse("profile", data)
	if err != nil {
		return err
	}
	if len(profiles) != 1 {
		return &InvalidError{FieldErrors: []FieldError{{File: "profile", Problem: "is not exactly one profile"}}}
	}
	*p = profiles[0]
	return nil
}
