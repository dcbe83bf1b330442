package runner

import (
	"net"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/settingsloader"
)

// listeners are the sockets of one entry VM.
type listeners struct {
	callers, operators, peers net.Listener
}

func listen(settings settingsloader.Listen) (l listeners, err error) {
	defer func() {
		if err != nil {
			l.close()
		}
	}()
	if l.callers, err = net.Listen("tcp", settings.Callers); err != nil {
		return l, errors.Wrap(err, "listen.callers")
	}
	if l.operators, err = net.Listen("tcp", settings.Operators); err != nil {
		return l, errors.Wrap(err, "listen.operators")
	}
	if l.peers, err = net.Listen("tcp", settings.Peers); err != nil {
		return l, errors.Wrap(err, "listen.peers")
	}
	return l, nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.operators, l.peers} {
		if listener != nil {
			_ = listener.Close() // no request was served on it
		}
	}
}
