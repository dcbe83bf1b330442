package cmd

import (
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// listen listens on the address that a flag gives, an IP number and a port.
func listen(flag, address string) (net.Listener, error) {
	if err := checkAddress(address); err != nil {
		return nil, errors.Wrap(err, flag)
	}
	l, err := net.Listen("tcp", address)
	return l, errors.Wrap(err, flag)
}

func checkAddress(address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return errors.Newf("%q is not an IP number and a port", address)
	}
	return nil
}
