// Package authenticator identifies the team of callers or the operator that makes
// a request by its bearer token.
//
// Only hashes of tokens are stored. A token holds 256 random bits, so a SHA-256
// hash without salt can't be reversed by search. Hashes are compared in constant
// time.
package authenticator

import (
	"crypto/subtle"
	"fmt"
	"strings"
	"sync/atomic"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// UnauthenticatedTeam is the team of callers without a token when tokens are not
// required.
const UnauthenticatedTeam identifier.Team = "local"

// UnauthenticatedOperator is the operator's name when tokens are not required.
const UnauthenticatedOperator = "local"

// BootstrapOperator is the name of the operator whose token's hash stands in the
// settings.
const BootstrapOperator = "bootstrap"

const (
	scheme          = "bearer"
	maxHeaderLength = 512 // bytes
)

// Options configure an Authenticator.
type Options struct {
	// AuthenticationOff turns authentication off; only for a system on loopback. A
	// caller's bearer token is then taken as the name of its team.
	AuthenticationOff bool
	// BootstrapHash is the hash of an operator's token that is valid without a
	// record, so that the first operator can create the other tokens. The zero
	// hash allows no such token.
	BootstrapHash Hash
}

// Authenticator checks bearer tokens against the records that were loaded last.
// Its methods may be called by several goroutines.
type Authenticator struct {
	options Options
	records atomic.Pointer[map[TokenID]Record]
}

// New returns an Authenticator without records.
func New(options Options) *Authenticator {
	a := &Authenticator{options: options}
	a.Load(nil)
	return a
}

// Load replaces the records.
func (a *Authenticator) Load(records []Record) {
	byID := make(map[TokenID]Record, len(records))
	for _, record := range records {
		byID[record.ID] = record
	}
	a.records.Store(&byID)
}

// Caller returns the team whose token an Authorization header holds. The errors
// are *UnauthenticatedError and *ForbiddenError.
func (a *Authenticator) Caller(header string) (identifier.Team, error) {
	if a.options.AuthenticationOff {
		return unverifiedTeam(header)
	}
	token, err := tokenFromHeader(header)
	if err != nil {
		return "", err
	}
	record, err := a.verify(token)
	if err != nil {
		return "", err
	}
	if record.Team == "" {
		return "", &ForbiddenError{Detail: "an operator's token submits no jobs"}
	}
	return record.Team, nil
}

// Operator returns the name of the operator whose token an Authorization header
// holds. The errors are *UnauthenticatedError and *ForbiddenError.
func (a *Authenticator) Operator(header string) (string, error) {
	if a.options.AuthenticationOff {
		return UnauthenticatedOperator, nil
	}
	token, err := tokenFromHeader(header)
	if err != nil {
		return "", err
	}
	if a.isBootstrap(token) {
		return BootstrapOperator, nil
	}
	record, err := a.verify(token)
	if err != nil {
		return "", err
	}
	if record.Operator == "" {
		return "", &ForbiddenError{Detail: fmt.Sprintf("the token of team %s gives no control", record.Team)}
	}
	return record.Operator, nil
}

func (a *Authenticator) isBootstrap(token Token) bool {
	hash := token.Hash()
	equal := subtle.ConstantTimeCompare(hash[:], a.options.BootstrapHash[:]) == 1
	return equal && a.options.BootstrapHash != Hash{}
}

// verify returns the record of a token. It fails if the token is unknown, has the
// wrong secret or is retired.
func (a *Authenticator) verify(token Token) (Record, error) {
	record, known := (*a.records.Load())[token.ID]
	hash := token.Hash()
	equal := subtle.ConstantTimeCompare(hash[:], record.Hash[:]) == 1
	if !known || !equal {
		return Record{}, &UnauthenticatedError{Detail: "the token is not known"}
	}
	if record.Retired {
		return Record{}, &UnauthenticatedError{Detail: fmt.Sprintf("token %s is retired", record.ID)}
	}
	return record, nil
}

// tokenFromHeader returns the token of a header of the form "Bearer <token>".
func tokenFromHeader(header string) (Token, error) {
	value, err := bearerValue(header)
	if err != nil {
		return Token{}, err
	}
	token, err := ParseToken(value)
	if err != nil {
		return Token{}, &UnauthenticatedError{Detail: "the token is malformed"}
	}
	return token, nil
}

func bearerValue(header string) (string, error) {
	if header == "" {
		return "", &UnauthenticatedError{Detail: "the Authorization header is missing"}
	}
	if len(header) > maxHeaderLength {
		return "", &UnauthenticatedError{Detail: fmt.Sprintf("the Authorization header is longer than %d bytes", maxHeaderLength)}
	}
	name, value, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(name, scheme) || value == "" {
		return "", &UnauthenticatedError{Detail: "the Authorization header is not of the form Bearer <token>"}
	}
	return value, nil
}

// unverifiedTeam returns the team that a header names when tokens are not
// required.
func unverifiedTeam(header string) (identifier.Team, error) {
	if header == "" {
		return UnauthenticatedTeam, nil
	}
	value, err := bearerValue(header)
	if err != nil {
		return "", err
	}
	team := identifier.Team(value)
	if !identifier.ValidTeam(team) {
		return "", &UnauthenticatedError{Detail: "the bearer token is not a team's name"}
	}
	return team, nil
}
