package backendcaller

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Defaults of a Caller's options.
const (
	DefaultConnectionsPerServer = 1
	DefaultConnectTimeout       = 500 * time.Millisecond
	DefaultLostAnswerTimeout    = 2 * time.Second
	DefaultAnswerGrace          = 500 * time.Millisecond
	DefaultRequestTimeout       = 2 * time.Second
	DefaultReconnectDelay       = 100 * time.Millisecond
	DefaultPingInterval         = time.Second
)

// Options configures a Caller. A zero field takes its default.
type Options struct {
	Caller               identifier.VMID          // this VM, as each request names it to the backend server
	FailureDomain        identifier.FailureDomain // of this VM
	ConnectionsPerServer int                      // maximum open at a time
	ConnectTimeout       time.Duration            // for a new connection, until it has answered its first request
	LostAnswerTimeout    time.Duration            // for querying a task whose answer was lost
	AnswerGrace          time.Duration            // for the answer to a start, after the task's lease has ended
	RequestTimeout       time.Duration            // of each request except a start
	ReconnectDelay       time.Duration            // after a failed dial
	PingInterval         time.Duration            // of a connection on which nothing arrives; it is lost if a ping is not answered within the same time
}

func (o Options) withDefaults() Options {
	setDefault(&o.ConnectionsPerServer, DefaultConnectionsPerServer)
	setDefault(&o.ConnectTimeout, DefaultConnectTimeout)
	setDefault(&o.LostAnswerTimeout, DefaultLostAnswerTimeout)
	setDefault(&o.AnswerGrace, DefaultAnswerGrace)
	setDefault(&o.RequestTimeout, DefaultRequestTimeout)
	setDefault(&o.ReconnectDelay, DefaultReconnectDelay)
	setDefault(&o.PingInterval, DefaultPingInterval)
	return o
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

func (o Options) validate() error {
	if o.ConnectionsPerServer < 0 {
		return errors.New("ConnectionsPerServer is negative")
	}
	for _, d := range []time.Duration{
		o.ConnectTimeout, o.LostAnswerTimeout, o.AnswerGrace, o.RequestTimeout, o.ReconnectDelay, o.PingInterval,
	} {
		if d < 0 {
			return errors.New("a timeout or interval is negative")
		}
	}
	return nil
}
