package backendserver

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/platformcaller"
)

// Defaults of a fleet's options.
const (
	DefaultSlots            identifier.Slots      = 8
	DefaultConnections                            = 64
	DefaultRackSize                               = 8
	DefaultMillicores       identifier.Millicores = 32_000
	DefaultMemory           identifier.Mebibytes  = 64 << 10
	DefaultUsageLag                               = time.Second
	DefaultRegisterInterval                       = time.Second
	DefaultHost                                   = "127.0.0.1"
)

// MaxServers is the largest number of backend servers in one fleet.
const MaxServers = 4096

// Registrar puts VMs on the platform's list and removes them from it.
// *platformcaller.Client and *platformcaller.Memory are Registrars.
type Registrar interface {
	Register(ctx context.Context, vms []platformcaller.VM, ttl time.Duration) error
	Remove(ctx context.Context, ids []string) error
}

// Options are the options of a Fleet. A zero field takes its default.
type Options struct {
	Count            int
	IDPrefix         string // of the servers' IDs; "backend" by default
	Host             string // an IP address
	FirstPort        int    // port of the first server, the others follow; 0 takes free ports
	FailureDomains   []identifier.FailureDomain
	RackSize         int
	Slots            identifier.Slots
	Connections      int // the most connections to one server
	Millicores       identifier.Millicores
	Memory           identifier.Mebibytes
	Accelerators     int
	UsageLag         time.Duration
	Registrar        Registrar // nil if the servers are not registered
	RegisterInterval time.Duration
	Logger           log.Logger // nil logs nothing
}

func (o Options) withDefaults() Options {
	setDefault(&o.IDPrefix, "backend")
	setDefault(&o.Host, DefaultHost)
	setDefault(&o.RackSize, DefaultRackSize)
	setDefault(&o.Slots, DefaultSlots)
	setDefault(&o.Connections, DefaultConnections)
	setDefault(&o.Millicores, DefaultMillicores)
	setDefault(&o.Memory, DefaultMemory)
	setDefault(&o.UsageLag, DefaultUsageLag)
	setDefault(&o.RegisterInterval, DefaultRegisterInterval)
	if len(o.FailureDomains) == 0 {
		o.FailureDomains = []identifier.FailureDomain{"domain-a"}
	}
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (o Options) validate() error {
	switch {
	case o.Count < 1 || o.Count > MaxServers:
		return errors.Newf("count: %d is not from 1 to %d", o.Count, MaxServers)
	case o.Slots < 1:
		return errors.Newf("slots: %d is below 1", o.Slots)
	case o.Connections < 1:
		return errors.Newf("connections: %d is below 1", o.Connections)
	case o.RackSize < 1:
		return errors.Newf("rack size: %d is below 1", o.RackSize)
	case o.Millicores < 1 || o.Memory < 1 || o.Accelerators < 0:
		return errors.Newf("millicores %d, memory %d MiB, accelerators %d: need at least 1, 1 and 0", o.Millicores, o.Memory, o.Accelerators)
	case o.UsageLag < 0 || o.RegisterInterval < 0:
		return errors.Newf("usage lag %v, register interval %v: both must be at least 0", o.UsageLag, o.RegisterInterval)
	case o.FirstPort < 0 || o.FirstPort > 0 && o.FirstPort+o.Count-1 > 65535:
		return errors.Newf("first port: %d leaves no room for %d servers", o.FirstPort, o.Count)
	default:
		return nil
	}
}
