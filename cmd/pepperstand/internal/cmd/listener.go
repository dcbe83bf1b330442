package cmd

import (
	"net"
	"net/netip"
	"os"

	"github.com/cockroachdb/errors"
)

// listen listens on an address, which is an IP number and a port. Its errors name
// the flag that the address comes from.
func listen(flag, address string) (net.Listener, error) {
	if err := checkAddress(address); err != nil {
		return nil, errors.Wrap(err, flag)
	}
	l, err := net.Listen("tcp", address)
	return l, errors.Wrap(err, flag)
}

// listenAndWriteAddress listens as listen does and writes the listener's address
// into a file, unless the file's name is empty.
func listenAndWriteAddress(flag, address, file string) (l net.Listener, err error) {
	l, err = listen(flag, address)
	if err != nil || file == "" {
		return l, err
	}
	if err := os.WriteFile(file, []byte(l.Addr().String()+"\n"), addressFileMode); err != nil {
		_ = l.Close() // the write error is returned
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
