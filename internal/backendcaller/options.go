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
	DefaultSettleTimeout        = 2 * time.Second
	DefaultAnswerGrace          = 500 * time.Millisecond
	DefaultRequestTimeout       = 2 * time.Second
	DefaultReconnectDelay       = 100 * time.Millisecond
	DefaultPingInterval         = time.Second
)

// Options are the options of a Caller. A zero field takes its default.
type Options struct {
	Caller               identifier.VMID
	FailureDomain        identifier.FailureDomain
	ConnectionsPerServer int           // the most that are open at a time
	ConnectTimeout       time.Duration // until a new connection has answered
	SettleTimeout        time.Duration // for asking after a task whose answer was lost
	AnswerGrace          time.Duration // for a task's answer after its lease
	RequestTimeout       time.Duration // of each request but a start
	ReconnectDelay       time.Duration // after a connection that wasn't made
	PingInterval         time.Duration // of a connection on which nothing arrives; without an answer for as long it is lost
}

func (o Options) withDefaults() Options {
	setDefault(&o.ConnectionsPerServer, DefaultConnectionsPerServer)
	setDefault(&o.ConnectTimeout, DefaultConnectTimeout)
	setDefault(&o.SettleTimeout, DefaultSettleTimeout)
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

func (o Options) check() error {
	if o.ConnectionsPerServer < 0 {
		return errors.New("connections per server: negative")
	}
	for _, d := range []time.Duration{
		o.ConnectTimeout, o.SettleTimeout, o.AnswerGrace, o.RequestTimeout, o.ReconnectDelay, o.PingInterval,
	} {
		if d < 0 {
			return errors.New("a timeout is negative")
		}
	}
	return nil
}
