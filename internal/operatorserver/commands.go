package operatorserver

import (
	"context"
	"net/http"
	"time"

	"github.com/peppertrack/peppertrack/internal/authenticator"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/profilekeeper"
	"github.com/peppertrack/peppertrack/internal/profileparser"
)

// changeRequest asks for operations that are all made or all refused.
type changeRequest struct {
	ChangeID   identifier.ChangeID `json:"changeId"` // repeated by every attempt
	Reason     string              `json:"reason"`
	Operations []operation         `json:"operations"`
}

// operation has one of its fields set.
type operation struct {
	Create      *createOperation       `json:"create,omitempty"`
	Change      *changeOperation       `json:"change,omitempty"`
	Retire      *retireOperation       `json:"retire,omitempty"`
	CreateToken *authenticator.Record  `json:"createToken,omitempty"`
	RetireToken *authenticator.TokenID `json:"retireToken,omitempty"`
}

type createOperation struct {
	Profile profileparser.Profile `json:"profile"`
	Revive  bool                  `json:"revive,omitempty"` // take up the name of a retired profile
}

type changeOperation struct {
	Profile profileparser.Profile     `json:"profile"`
	Base    identifier.ProfileVersion `json:"base"` // version of the profile that the change was made for
}

type retireOperation struct {
	Name identifier.ProfileName    `json:"name"`
	Base identifier.ProfileVersion `json:"base"`
}

func (s *server) change(ctx context.Context, operator string, r *http.Request) (any, error) {
	var body changeRequest
	if err := decode(r, &body); err != nil {
		return nil, err
	}
	request := profilekeeper.Request{ID: body.ChangeID, Author: operator, Reason: body.Reason, At: time.Now()}
	for _, o := range body.Operations {
		decoded, err := o.decoded()
		if err != nil {
			return nil, err
		}
		request.Operations = append(request.Operations, decoded)
	}
	accepted, err := s.opts.Writer.Write(ctx, request)
	if err != nil {
		return nil, err
	}
	s.opts.Logger.Log("level", "info", "msg", "change accepted", "changeId", accepted.ID, "operator", operator,
		"version", accepted.Last, "repeated", accepted.Repeated)
	s.awaitInForce(ctx, accepted.Last)
	return accepted, nil
}

// awaitInForce waits until a version is in force on this VM, so that its
// operator's next query shows it. It gives up after awaitTimeout: the change is
// accepted all the same.
func (s *server) awaitInForce(ctx context.Context, version identifier.ProfileVersion) {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	ticker := time.NewTicker(awaitInterval)
	defer ticker.Stop()
	for s.opts.Book().Version < version {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// decoded returns the operation whose field is set.
func (o operation) decoded() (profilekeeper.Operation, error) {
	var found []profilekeeper.Operation
	if o.Create != nil {
		found = append(found, profilekeeper.CreateProfile{Profile: o.Create.Profile, Revive: o.Create.Revive})
	}
	if o.Change != nil {
		found = append(found, profilekeeper.ChangeProfile{Profile: o.Change.Profile, Base: o.Change.Base})
	}
	if o.Retire != nil {
		found = append(found, profilekeeper.RetireProfile{Name: o.Retire.Name, Base: o.Retire.Base})
	}
	if o.CreateToken != nil {
		found = append(found, profilekeeper.CreateToken{Record: *o.CreateToken})
	}
	if o.RetireToken != nil {
		found = append(found, profilekeeper.RetireToken{ID: *o.RetireToken})
	}
	if len(found) != 1 {
		return nil, &profilekeeper.InvalidRequestError{Field: "operations", Problem: "need exactly one field each"}
	}
	return found[0], nil
}

// encoded returns the wire form of an operation.
func encoded(o profilekeeper.Operation) operation {
	switch o := o.(type) {
	case profilekeeper.CreateProfile:
		return operation{Create: &createOperation{o.Profile, o.Revive}}
	case profilekeeper.ChangeProfile:
		return operation{Change: &changeOperation{o.Profile, o.Base}}
	case profilekeeper.RetireProfile:
		return operation{Retire: &retireOperation{o.Name, o.Base}}
	case profilekeeper.CreateToken:
		return operation{CreateToken: &o.Record}
	case profilekeeper.RetireToken:
		return operation{RetireToken: &o.ID}
	}
	return operation{}
}
