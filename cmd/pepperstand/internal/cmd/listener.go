package cmd

import (
	"net"
	"net/netip"
	"os"

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

// listenAndTell listens as listen does and writes the address that was taken
// into a file, unless the file's name is empty.
func listenAndTell(flag, address, file string) (l net.Listener, err error) {
	l, err = listen(flag, address)
	if err != nil || file == "" {
		return l, err
	}
	if err := os.WriteFile(file, []byte(l.Addr().String()+"\n"), addressFileMode); err != nil {
		_ = l.Close() // the first error counts
		return nil, errors.Wrap(err, "--address-file")
	}
	return l, nil
}

const addressFileMode = 0o644

func checkAddress(address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return errors.Newf("%q is not an IP number and a port", address)
	}
	return nil
}
