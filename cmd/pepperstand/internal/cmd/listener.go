package cmd

import (
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// listen listens on the address that a flag gives, an IP number and a port.
func listen(flag, address string) (net.Listener, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, errors.Newf("%s: %q is not an IP number and a port", flag, address)
	}
	l, err := net.Listen("tcp", address)
	return l, errors.Wrap(err, flag)
}
