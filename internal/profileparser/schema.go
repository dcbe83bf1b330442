package profileparser

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Bounds of the fields. Where there is no constant for the lower bound, the schema
// states it.
const (
	MaxTasksPerJob       = 1_900
	MaxDeadline          = 10 * time.Minute // longest deadline of a job
	MinDeadline          = 10 * time.Millisecond
	MaxPriority          = 9
	MaxWeight            = 1_000
	MaxQuota             = 1_000_000 // slots
	MaxQuotas            = 500       // teams in one profile
	MaxRetryBudget       = 1.0
	MaxQueueBound        = 1_000_000 // tasks
	MaxResponseOverIdeal = 100.0
	MaxTarget            = 0.99999
	MinWindow            = time.Hour
	MaxWindow            = 90 * 24 * time.Hour
	MaxDescriptionLength = 1_000 // bytes
)

var namePattern = regexp.MustCompile(`^[a-zA-Z][a-zA-Z0-9]{0,63}$`)

// fieldSetter validates one value and stores it in a profile.
type fieldSetter func(p *Profile, n *yaml.Node) error

// schema maps the path of each field to its setter.
var schema = map[string]fieldSetter{
	"name": func(p *Profile, n *yaml.Node) error {
		if !namePattern.MatchString(n.Value) {
			return errors.Newf("%q is not a letter followed by up to 63 letters and digits", n.Value)
		}
		p.Name = identifier.ProfileName(n.Value)
		return nil
	},
	"description":  stringSetter(MaxDescriptionLength, func(p *Profile) *string { return &p.Description }),
	"deadline":     durationSetter(MinDeadline, MaxDeadline, func(p *Profile) *time.Duration { return &p.Deadline }),
	"maxTasks":     integerSetter(1, MaxTasksPerJob, func(p *Profile) *int { return &p.MaxTasks }),
	"priority":     integerSetter(0, MaxPriority, func(p *Profile) *int { return &p.Priority }),
	"weight":       integerSetter(1, MaxWeight, func(p *Profile) *int { return &p.Weight }),
	"defaultQuota": integerSetter(0, MaxQuota, func(p *Profile) *identifier.Slots { return &p.DefaultQuota }),
	"repeatable":   booleanSetter(func(p *Profile) *bool { return &p.Repeatable }),
	"retryBudget":  floatSetter(0, MaxRetryBudget, func(p *Profile) *float64 { return &p.RetryFraction }),
	"queueBound":   integerSetter(1, MaxQueueBound, func(p *Profile) *int { return &p.QueueBound }),
	"cancellation": choiceSetter(func(p *Profile) *Cancellation { return &p.Cancellation }, Stop, LetRun),

	"placement.policy":         choiceSetter(func(p *Profile) *Policy { return &p.Placement.Policy }, Reserve, TwoChoices, Random),
	"placement.spill":          booleanSetter(func(p *Profile) *bool { return &p.Placement.Spill }),
	"placement.responseWeight": integerSetter(0, MaxWeight, func(p *Profile) *int { return &p.Placement.ResponseWeight }),
	"placement.messageWeight":  integerSetter(0, MaxWeight, func(p *Profile) *int { return &p.Placement.MessageWeight }),

	"whileStoreDown": choiceSetter(func(p *Profile) *UnreachableAction { return &p.WhileStoreDown }, Serve, Refuse),
	"whileCutOff":    choiceSetter(func(p *Profile) *UnreachableAction { return &p.WhileCutOff }, Serve, Refuse),

	"objective.target":            floatSetter(0, MaxTarget, func(p *Profile) *float64 { return &p.Objective.Target }),
	"objective.responseOverIdeal": floatSetter(1, MaxResponseOverIdeal, func(p *Profile) *float64 { return &p.Objective.ResponseOverIdeal }),
	"objective.window":            durationSetter(MinWindow, MaxWindow, func(p *Profile) *time.Duration { return &p.Objective.Window }),

	"retired": booleanSetter(func(p *Profile) *bool { return &p.Retired }),
}

// setQuota validates the quota of one team, which is a field of the section quotas,
// and stores it in the profile.
func setQuota(p *Profile, team string, n *yaml.Node) error {
	if !identifier.ValidTeam(identifier.Team(team)) {
		return errors.Newf("%q is not a team's name: a letter or digit, then up to 63 letters, digits, dots, hyphens and underscores", team)
	}
	if len(p.Quotas) >= MaxQuotas {
		return errors.Newf("more than %d teams", MaxQuotas)
	}
	var quota identifier.Slots
	if err := integerSetter(0, MaxQuota, func(*Profile) *identifier.Slots { return &quota })(p, n); err != nil {
		return err
	}
	if p.Quotas == nil {
		p.Quotas = make(map[identifier.Team]identifier.Slots)
	}
	p.Quotas[identifier.Team(team)] = quota
	return nil
}

func stringSetter(limit int, field func(*Profile) *string) fieldSetter {
	return func(p *Profile, n *yaml.Node) error {
		if len(n.Value) > limit {
			return errors.Newf("%d bytes are above the bound of %d", len(n.Value), limit)
		}
		*field(p) = n.Value
		return nil
	}
}

func integerSetter[T ~int](least, most T, field func(*Profile) *T) fieldSetter {
	return func(p *Profile, n *yaml.Node) error {
		v, err := strconv.ParseInt(n.Value, 10, 64)
		if err != nil || n.Tag != "!!int" {
			return errors.Newf("%q is not a whole number", n.Value)
		}
		if v < int64(least) || v > int64(most) {
			return errors.Newf("%d is not between %d and %d", v, least, most)
		}
		*field(p) = T(v)
		return nil
	}
}

func floatSetter(least, most float64, field func(*Profile) *float64) fieldSetter {
	return func(p *Profile, n *yaml.Node) error {
		v, err := strconv.ParseFloat(n.Value, 64)
		if err != nil || (n.Tag != "!!float" && n.Tag != "!!int") {
			return errors.Newf("%q is not a number", n.Value)
		}
		if !(v >= least && v <= most) { // also rejects NaN
			return errors.Newf("%v is not between %v and %v", v, least, most)
		}
		*field(p) = v
		return nil
	}
}

func booleanSetter(field func(*Profile) *bool) fieldSetter {
	return func(p *Profile, n *yaml.Node) error {
		if n.Tag != "!!bool" || (n.Value != "true" && n.Value != "false") {
			return errors.Newf("%q is neither true nor false", n.Value)
		}
		*field(p) = n.Value == "true"
		return nil
	}
}

func durationSetter(least, most time.Duration, field func(*Profile) *time.Duration) fieldSetter {
	return func(p *Profile, n *yaml.Node) error {
		v, err := time.ParseDuration(n.Value)
		if err != nil {
			return errors.Newf("%q is not a duration with a unit, such as 500ms, 2s or 720h", n.Value)
		}
		if v < least || v > most {
			return errors.Newf("%v is not between %v and %v", v, least, most)
		}
		*field(p) = v
		return nil
	}
}

func choiceSetter[T ~string](field func(*Profile) *T, choices ...T) fieldSetter {
	return func(p *Profile, n *yaml.Node) error {
		for _, choice := range choices {
			if n.Value == string(choice) {
				*field(p) = choice
				return nil
			}
		}
		return errors.Newf("%q is none of %s", n.Value, strings.Trim(fmt.Sprint(choices), "[]"))
	}
}
