package platformcaller

import (
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// VMKind is the kind of a VM.
type VMKind string

// The kinds of VMs.
const (
	EntryVM       VMKind = "entryVM"
	BackendServer VMKind = "backendServer"
)

// VMState says whether a VM accepts new work.
type VMState string

// The states of VMs.
const (
	Live    VMState = "live"
	Leaving VMState = "leaving"
)

// VM is an entry in the service's list of VMs.
type VM struct {
	ID            string                   `json:"id"` // an identifier.VMID or, for a backend server, an identifier.BackendID
	Kind          VMKind                   `json:"kind"`
	FailureDomain identifier.FailureDomain `json:"failureDomain"`
	Rack          identifier.RackID        `json:"rack,omitempty"`
	Address       string                   `json:"address"` // host:port, where host is an IP address
	State         VMState                  `json:"state"`
	Slots         identifier.Slots         `json:"slots,omitempty"`
	Connections   int                      `json:"connections,omitempty"` // limit for all entry VMs together
	Millicores    identifier.Millicores    `json:"millicores,omitempty"`
	Memory        identifier.Mebibytes     `json:"memoryMebibytes,omitempty"`
	Accelerators  int                      `json:"accelerators,omitempty"`
}

// maxNameSize bounds ID, FailureDomain and Rack of a VM, in bytes.
const maxNameSize = 128

// Validate returns an error that names the first invalid field.
func (v VM) Validate() error {
	switch {
	case v.ID == "" || len(v.ID) > maxNameSize:
		return errors.Newf("id: need 1 to %d bytes", maxNameSize)
	case v.Kind != EntryVM && v.Kind != BackendServer:
		return errors.Newf("kind: %q is none of %s, %s", v.Kind, EntryVM, BackendServer)
	case v.State != Live && v.State != Leaving:
		return errors.Newf("state: %q is none of %s, %s", v.State, Live, Leaving)
	case v.FailureDomain == "" || len(v.FailureDomain) > maxNameSize:
		return errors.Newf("failureDomain: need 1 to %d bytes", maxNameSize)
	case len(v.Rack) > maxNameSize:
		return errors.Newf("rack: need at most %d bytes", maxNameSize)
	case v.Slots < 0 || v.Connections < 0 || v.Millicores < 0 || v.Memory < 0 || v.Accelerators < 0:
		return errors.New("slots, connections, millicores, memoryMebibytes, accelerators: none may be negative")
	}
	if _, err := netip.ParseAddrPort(v.Address); err != nil {
		return errors.Wrap(err, "address")
	}
	return nil
}
