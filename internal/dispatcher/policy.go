package dispatcher

import (
	"github.com/peppertrack/peppertrack/internal/placer"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

// policyOf returns the policy that a profile names; nil is the placer's default.
func policyOf(p profileparser.Placement) placer.Policy {
	switch p.Policy {
	case profileparser.Random:
		return placer.Random{}
	case profileparser.TwoChoices:
		return placer.TwoChoices{}
	case profileparser.Reserve:
		return placer.Reserve{}
	default:
		return nil
	}
}
