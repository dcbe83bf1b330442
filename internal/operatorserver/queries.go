package operatorserver

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/peppertrack/peppertrack/internal/authenticator"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/profilekeeper"
)

// ProfileList holds the profiles in force on the VM that answers.
type ProfileList struct {
	Version  identifier.ProfileVersion `json:"version"`
	Chain    profilekeeper.Chain       `json:"chain"`
	Profiles []profilekeeper.Entry     `json:"profiles"` // sorted by name, retired ones included
}

// History holds changes, newest first.
type History struct {
	Version  identifier.ProfileVersion `json:"version"`
	Changes  []profilekeeper.Change    `json:"changes"`
	Complete bool                      `json:"whole"` // no earlier change was dropped from the history
}

// ProfileDetail holds one profile with the changes to it.
type ProfileDetail struct {
	Entry   profilekeeper.Entry    `json:"entry"`
	Changes []profilekeeper.Change `json:"changes"` // newest first, as far back as the history reaches
}

// TokenInfo describes a token without its secret and hash.
type TokenInfo struct {
	ID        authenticator.TokenID `json:"id"`
	Team      identifier.Team       `json:"team,omitempty"`
	Operator  string                `json:"operator,omitempty"`
	CreatedAt time.Time             `json:"createdAt"`
	Retired   bool                  `json:"retired"`
}

// VMStatus says which version of the profiles is in force on one entry VM.
type VMStatus struct {
	VM            identifier.VMID          `json:"vm"`
	Incarnation   identifier.Incarnation   `json:"incarnation"`
	FailureDomain identifier.FailureDomain `json:"failureDomain"`
	Reachable     bool                     `json:"reachable"` // from the VM that answers
	Detail        string                   `json:"detail,omitempty"`
	Profiles      profilekeeper.Status     `json:"profiles"`
	CutOff        []identifier.VMID        `json:"cutOff,omitempty"` // VMs that it can't reach
}

func (s *server) profiles(context.Context, string, *http.Request) (any, error) {
	b := s.opts.Book()
	return ProfileList{Version: b.Version, Chain: b.Chain, Profiles: notNil(b.Profiles)}, nil
}

func (s *server) profile(_ context.Context, _ string, r *http.Request) (any, error) {
	b := s.opts.Book()
	name := identifier.ProfileName(r.PathValue("name"))
	entry, ok := b.Profile(name)
	if !ok {
		return nil, &profilekeeper.NotFoundError{Subject: "profile " + string(name)}
	}
	var changes []profilekeeper.Change
	for _, c := range slices.Backward(b.Changes) {
		if c.Profile != nil && c.Profile.Name == name {
			changes = append(changes, c)
		}
	}
	return ProfileDetail{Entry: entry, Changes: notNil(changes)}, nil
}

func (s *server) history(_ context.Context, _ string, r *http.Request) (any, error) {
	limit := profilekeeper.MaxHistory
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > profilekeeper.MaxHistory {
			return nil, &profilekeeper.InvalidRequestError{Field: "limit", Problem: "is not a number from 1 to " + strconv.Itoa(profilekeeper.MaxHistory)}
		}
		limit = n
	}
	b := s.opts.Book()
	changes := slices.Clone(b.Changes)
	slices.Reverse(changes)
	complete := len(changes) == int(b.Version)
	return History{Version: b.Version, Changes: notNil(changes[:min(limit, len(changes))]), Complete: complete}, nil
}

func (s *server) tokens(context.Context, string, *http.Request) (any, error) {
	tokens := []TokenInfo{}
	for _, r := range s.opts.Book().Tokens {
		tokens = append(tokens, TokenInfo{r.ID, r.Team, r.Operator, r.CreatedAt, r.Retired})
	}
	return tokens, nil
}

func (s *server) evacuations(context.Context, string, *http.Request) (any, error) {
	return notNil(s.opts.Book().Evacuations), nil
}

func (s *server) status(ctx context.Context, _ string, _ *http.Request) (any, error) {
	statuses, err := s.opts.Status.Status(ctx)
	return notNil(statuses), err
}

func (s *server) handover(ctx context.Context, operator string, _ *http.Request) (any, error) {
	statuses, err := s.opts.Status.Status(ctx)
	if err != nil {
		return nil, err
	}
	return newHandover(time.Now().UTC(), operator, s.opts.Book(), statuses), nil
}

// notNil returns an empty list in place of nil, so that JSON holds [], not null.
func notNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

func (s *server) burn(ctx context.Context, _ string, _ *http.Request) (any, error) {
	return s.opts.Burn.Burn(ctx)
}
