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

// changeRequest is the body of a change. Its operations are all applied or all
// refused.
type changeRequest struct {
	ChangeID   identifier.ChangeID `json:"changeId"` // the same in every attempt
	Reason     string              `json:"reason"`
	Operations []operation         `json:"operations"`
}

// operation is the JSON form of a profilekeeper.Operation. Exactly one of its
// fields is set.
type operation struct {
	Create      *createOperation       `json:"create,omitempty"`
	Change      *changeOperation       `json:"change,omitempty"`
	Retire      *retireOperation       `json:"retire,omitempty"`
	CreateToken *authenticator.Record  `json:"createToken,omitempty"`
	RetireToken *authenticator.TokenID `json:"retireToken,omitempty"`

	EvacuateDomain *identifier.FailureDomain `json:"evacuateDomain,omitempty"`
	TakeBackDomain *identifier.FailureDomain `json:"takeBackDomain,omitempty"`
}

type createOperation struct {
	Profile profileparser.Profile `json:"profile"`
	Revive  bool                  `json:"revive,omitempty"` // reuse the name of a retired profile
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
		decoded, err := o.decode()
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

// awaitInForce waits until a version is in force on this VM, so that the
// operator's next query to it shows the change. It gives up after
// inForceTimeout, since the change is accepted in any case.
func (s *server) awaitInForce(ctx context.Context, version identifier.ProfileVersion) {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	ticker := time.NewTicker(inForcePollInterval)
	defer ticker.Stop()
	for s.opts.Book().Version < version {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// decode returns the operation whose field is set. Unless exactly one is set, the
// error is *profilekeeper.InvalidRequestError.
func (o operation) decode() (profilekeeper.Operation, error) {
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
	if o.EvacuateDomain != nil {
		found = append(found, profilekeeper.EvacuateDomain{Domain: *o.EvacuateDomain})
	}
	if o.TakeBackDomain != nil {
		found = append(found, profilekeeper.TakeBackDomain{Domain: *o.TakeBackDomain})
	}
	if len(found) != 1 {
		return nil, &profilekeeper.InvalidRequestError{Field: "operations", Problem: "need exactly one field each"}
	}
	return found[0], nil
}

// encodeOperation returns the JSON form of an operation.
func encodeOperation(o profilekeeper.Operation) operation {
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
	case profilekeeper.EvacuateDomain:
		return operation{EvacuateDomain: &o.Domain}
	case profilekeeper.TakeBackDomain:
		return operation{TakeBackDomain: &o.Domain}
	}
	return operation{}
}
