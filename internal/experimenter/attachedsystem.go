package experimenter

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/profileparser"
	"github.com/peppertrack/peppertrack/internal/standin/backendserver"
)

const faultAnswerLimit = 64 << 10 // bytes

// Attached addresses a system whose processes somebody else has started. The
// policy is the one that its profile names.
type Attached struct {
	Addresses []string // callers' addresses of the entry VMs
	Control   string   // address of the backend servers' administration
}

type attachedSystem struct{ Attached }

// Open implements Opener. It refuses a scenario whose faults it can't bring
// about.
func (a Attached) Open(_ context.Context, s Scenario, _ profileparser.Policy) (System, error) {
	for _, step := range s.steps() {
		if _, ok := step.fault.(BackendFault); !ok {
			return nil, errors.Newf("only backend servers can be disturbed from here: %s", step.fault)
		}
	}
	return attachedSystem{a}, nil
}

// EntryVMs implements System.
func (a attachedSystem) EntryVMs() []string { return a.Addresses }

// BackendControl implements System.
func (a attachedSystem) BackendControl() string { return a.Control }

// Shared implements System.
func (a attachedSystem) Shared() bool { return false }

// faultBody is the request that sets faults of backend servers.
type faultBody struct {
	backendserver.Selector
	Faults backendserver.Faults `json:"faults"`
}

// Inject implements System.
func (a attachedSystem) Inject(ctx context.Context, fault Fault) (err error) {
	defer func() { err = errors.Wrapf(err, "fault: %s", fault) }()
	f, ok := fault.(BackendFault)
	if !ok {
		return errors.New("only backend servers can be disturbed from here")
	}
	body, err := json.Marshal(faultBody{Selector: f.Selector, Faults: f.Faults})
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Control+"/v1/faults", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		detail, _ := io.ReadAll(io.LimitReader(response.Body, faultAnswerLimit))
		return errors.Newf("status %d: %s", response.StatusCode, detail)
	}
	return nil
}

// Close implements System.
func (a attachedSystem) Close() error { return nil }
