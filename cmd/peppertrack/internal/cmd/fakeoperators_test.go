package cmd

import (
	"context"
	"net/http/httptest"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/peppertrack/peppertrack/internal/authenticator"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/operatorserver"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
	"github.com/peppertrack/peppertrack/internal/platformcaller"
	"github.com/peppertrack/peppertrack/internal/profilefollower"
	"github.com/peppertrack/peppertrack/internal/profilekeeper"
	"github.com/peppertrack/peppertrack/internal/profilewriter"
)

// fakeOperators holds the parts of one VM that serve the operators' API from a
// store in memory.
type fakeOperators struct {
	store    *platformcaller.FakeService
	follower *profilefollower.Follower
	self     identifier.Member
}

const fakeOperatorsKey = "fakeOperators"

// fakeOperatorsCmd starts the operators' API and sets the client's server and
// token to it and its bootstrap token.
func fakeOperatorsCmd(ts *testscript.TestScript, _ bool, _ []string) {
	f := &fakeOperators{
		store: platformcaller.NewFakeService(platformcaller.FakeOptions{}),
		self:  identifier.Member{VM: "vm1", Incarnation: 1},
	}
	bootstrap := authenticator.NewToken()
	auth := authenticator.New(authenticator.Options{BootstrapHash: bootstrap.Hash()})
	f.follower = profilefollower.New(profilefollower.Options{
		Self: f.self, Domain: "perth-a", Store: f.store,
		Send:    func(identifier.Member, peermessenger.Message) {},
		Adopted: func(b profilekeeper.Book) { auth.Load(b.Tokens) },
	})
	writer := profilewriter.New(profilewriter.Options{Store: f.store, CurrentBook: f.follower.Book, BookSeen: f.follower.BookSeen})
	server := httptest.NewServer(operatorserver.New(operatorserver.Options{
		Authenticator: auth, Writer: writer, Book: f.follower.Book, Status: f,
	}))
	ts.Defer(f.store.Close)
	ts.Defer(func() { ts.Check(f.follower.Close()) })
	ts.Defer(server.Close)
	ts.Setenv(envOperatorsServer, server.URL)
	ts.Setenv(envOperatorsToken, bootstrap.Reveal())
	ts.Value(fakeOperatorsKey).(*scriptState).operators = f
}

// Status returns the status of the one VM.
func (f *fakeOperators) Status(context.Context) ([]operatorserver.VMStatus, error) {
	return []operatorserver.VMStatus{
		{VM: f.self.VM, Incarnation: f.self.Incarnation, FailureDomain: "perth-a", Reachable: true, Profiles: f.follower.Status()},
	}, nil
}

// storeCmd sets a fault of the store: up, down or loses (the next answer).
func storeCmd(ts *testscript.TestScript, _ bool, args []string) {
	faults := map[string]platformcaller.Faults{"up": {}, "down": {Down: true}, "loses": {LoseResponses: 1}}
	if len(args) != 1 {
		ts.Fatalf("usage: store up|down|loses")
	}
	ts.Value(fakeOperatorsKey).(*scriptState).operators.store.SetFaults(faults[args[0]])
}

// scriptState is the state that the commands of one script share.
type scriptState struct{ operators *fakeOperators }
