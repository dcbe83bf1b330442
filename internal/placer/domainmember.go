package placer

import "github.com/peppertrack/peppertrack/internal/identifier"

// DomainMember is a live entry VM and its failure domain.
type DomainMember struct {
	Member identifier.Member
	Domain identifier.FailureDomain
}
