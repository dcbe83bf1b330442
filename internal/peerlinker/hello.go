package peerlinker

import (
	"net/http"
	"net/netip"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// The HTTP headers in which both ends of a link identify themselves.
const (
	vmHeader          = "Peppertrack-Vm"
	incarnationHeader = "Peppertrack-Incarnation"
	domainHeader      = "Peppertrack-Failure-Domain"
	addressHeader     = "Peppertrack-Peer-Address"
)

const maxNameLength = 63 // bytes of a VM's or a failure domain's name

func helloHeader(self Peer) http.Header {
	header := make(http.Header)
	header.Set(vmHeader, string(self.Member.VM))
	header.Set(incarnationHeader, strconv.FormatUint(uint64(self.Member.Incarnation), 10))
	header.Set(domainHeader, string(self.Domain))
	header.Set(addressHeader, self.Address)
	return header
}

// parseHello returns the peer that the headers identify. It fails for names that
// are empty or longer than maxNameLength and for an address without IP and port.
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
