package peerlinker

import (
	"net/http"
	"net/netip"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// The headers in which both ends of a link name themselves.
const (
	vmHeader          = "Peppertrack-Vm"
	incarnationHeader = "Peppertrack-Incarnation"
	domainHeader      = "Peppertrack-Failure-Domain"
	addressHeader     = "Peppertrack-Peer-Address"
)

const maxNameLength = 63

func helloHeader(self Peer) http.Header {
	header := make(http.Header)
	header.Set(vmHeader, string(self.Member.VM))
	header.Set(incarnationHeader, strconv.FormatUint(uint64(self.Member.Incarnation), 10))
	header.Set(domainHeader, string(self.Domain))
	header.Set(addressHeader, self.Address)
	return header
}

func parseHello(header http.Header) (peer Peer, err error) {
	defer func() { err = errors.Wrap(err, "reading the peer's name") }()
	incarnation, err := strconv.ParseUint(header.Get(incarnationHeader), 10, 64)
	if err != nil {
		return Peer{}, err
	}
	vm := header.Get(vmHeader)
	domain := header.Get(domainHeader)
	if vm == "" || len(vm) > maxNameLength || domain == "" || len(domain) > maxNameLength {
		return Peer{}, errors.Newf("VM %q in failure domain %q is out of bounds", vm, domain)
	}
	address := header.Get(addressHeader)
	if _, err := netip.ParseAddrPort(address); err != nil {
		return Peer{}, err
	}
	return Peer{
		Member:  identifier.Member{VM: identifier.VMID(vm), Incarnation: identifier.Incarnation(incarnation)},
		Domain:  identifier.FailureDomain(domain),
		Address: address,
	}, nil
}
