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

const maxFaultAnswerBytes = 64 << 10

// Attached opens a system that already runs in other processes. It can't change
// the placement policy: the profile in force there names it.
type Attached struct {
	Addresses    []string // callers' addresses of the entry VMs
	AdminAddress string   // address of the backend servers' admin API
}

type attachedSystem struct{ Attached }

// Open implements Opener. It returns an error for a scenario with a fault that
// it can't inject.
func (a Attached) Open(_ context.Context, s Scenario, _ profileparser.Policy) (System, error) {
	for _, injection := range s.injections() {
		if _, ok := injection.fault.(BackendFault); !ok {
			return nil, errors.Newf("an attached system takes only faults of backend servers: %s", injection.fault)
		}
	}
	return attachedSystem{a}, nil
}

// EntryVMs implements System.
func (a attachedSystem) EntryVMs() []string { return a.Addresses }

// BackendAdmin implements System.
func (a attachedSystem) BackendAdmin() string { return a.AdminAddress }

// SharedProcess implements System.
func (a attachedSystem) SharedProcess() bool { return false }

// faultsRequest is the body of the request that sets faults of backend servers.
type faultsRequest struct {
	backendserver.Selector
	Faults backendserver.Faults `json:"faults"`
}

// Inject implements System.
func (a attachedSystem) Inject(ctx context.Context, fault Fault) (err error) {
	defer func() { err = errors.Wrapf(err, "fault: %s", fault) }()
	f, ok := fault.(BackendFault)
	if !ok {
		return errors.New("an attached system takes only faults of backend servers")
	}
	body, err := json.Marshal(faultsRequest{Selector: f.Selector, Faults: f.Faults})
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.AdminAddress+"/v1/faults", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		detail, _ := io.ReadAll(io.LimitReader(response.Body, maxFaultAnswerBytes))
		return errors.Newf("status %d: %s", response.StatusCode, detail)
	}
	return nil
}

// Close implements System.
func (a attachedSystem) Close() error { return nil }
