package authenticator

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

const (
	accepted = iota
	unauthenticated
	forbidden
)

func outcomeOf(err error) int {
	var unauthenticatedErr *UnauthenticatedError
	var forbiddenErr *ForbiddenError
	switch {
	case err == nil:
		return accepted
	case errors.As(err, &unauthenticatedErr):
		return unauthenticated
	case errors.As(err, &forbiddenErr):
		return forbidden
	}
	return -1
}

func TestAuthenticator(t *testing.T) {
	team, operator, retired, unknown, bootstrap := NewToken(), NewToken(), NewToken(), NewToken(), NewToken()
	a := New(Options{BootstrapHash: bootstrap.Hash()})
	a.Load([]Record{
		{ID: team.ID, Hash: team.Hash(), Team: "desk"},
		{ID: operator.ID, Hash: operator.Hash(), Operator: "ada"},
		{ID: retired.ID, Hash: retired.Hash(), Team: "desk", Retired: true},
	})
	wrongSecret := unknown
	wrongSecret.ID = team.ID
	for _, tt := range []struct {
		name             string
		header           string
		caller, operator int
	}{
		{"team", "Bearer " + team.Reveal(), accepted, forbidden},
		{"scheme in another case", "bEARER " + team.Reveal(), accepted, forbidden},
		{"operator", "Bearer " + operator.Reveal(), forbidden, accepted},
		{"bootstrap", "Bearer " + bootstrap.Reveal(), unauthenticated, accepted},
		{"retired", "Bearer " + retired.Reveal(), unauthenticated, unauthenticated},
		{"unknown", "Bearer " + unknown.Reveal(), unauthenticated, unauthenticated},
		{"wrong secret", "Bearer " + wrongSecret.Reveal(), unauthenticated, unauthenticated},
		{"missing", "", unauthenticated, unauthenticated},
		{"basic", "Basic " + team.Reveal(), unauthenticated, unauthenticated},
		{"malformed", "Bearer desk", unauthenticated, unauthenticated},
		{"long", "Bearer " + strings.Repeat("a", maxHeaderLength), unauthenticated, unauthenticated},
	} {
		t.Run(tt.name, func(t *testing.T) {
			gotTeam, err := a.Caller(tt.header)
			if outcomeOf(err) != tt.caller || (err == nil) != (gotTeam == "desk") {
				t.Errorf("Caller() = %q, %v", gotTeam, err)
			}
			gotOperator, err := a.Operator(tt.header)
			if outcomeOf(err) != tt.operator || (err == nil) != (gotOperator == "ada" || gotOperator == BootstrapOperator) {
				t.Errorf("Operator() = %q, %v", gotOperator, err)
			}
		})
	}
}

// TestNoBootstrap checks that the zero hash in the options accepts no token.
func TestNoBootstrap(t *testing.T) {
	a := New(Options{})
	if name, err := a.Operator("Bearer " + NewToken().Reveal()); outcomeOf(err) != unauthenticated {
		t.Errorf("Operator() = %q, %v", name, err)
	}
}

func TestAuthenticationOff(t *testing.T) {
	a := New(Options{AuthenticationOff: true})
	for header, want := range map[string]identifier.Team{"": UnauthenticatedTeam, "Bearer desk": "desk", "Bearer a/b": "", "Basic a": ""} {
		got, err := a.Caller(header)
		if got != want || (err == nil) != (want != "") {
			t.Errorf("Caller(%q) = %q, %v, want %q", header, got, err, want)
		}
	}
	if name, err := a.Operator(""); err != nil || name != UnauthenticatedOperator {
		t.Errorf("Operator() = %q, %v", name, err)
	}
}

// FuzzHeader checks that no header without a known token is accepted, and that
// the text form of a parsed token equals the text that was parsed.
func FuzzHeader(f *testing.F) {
	known := NewToken()
	a := New(Options{BootstrapHash: NewToken().Hash()})
	a.Load([]Record{{ID: known.ID, Hash: known.Hash(), Team: "desk"}})
	for _, seed := range []string{"", "Bearer ", "Bearer pt__", "Bearer " + NewToken().Reveal(), "Basic a", "Bearer pt_" + string(known.ID) + "_AAAA"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, header string) {
		if team, err := a.Caller(header); err == nil {
			t.Fatalf("Caller(%q) = %q", header, team)
		}
		if name, err := a.Operator(header); err == nil {
			t.Fatalf("Operator(%q) = %q", header, name)
		}
		if token, err := ParseToken(header); err == nil && token.Reveal() != header {
			t.Fatalf("the text form of ParseToken(%q) is %q", header, token.Reveal())
		}
	})
}
