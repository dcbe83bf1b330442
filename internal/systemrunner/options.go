package systemrunner

import (
	"github.com/go-kit/log"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/profileparser"
	"github.com/peppertrack/peppertrack/internal/settingsloader"
)

// Options say how large a System is.
type Options struct {
	FailureDomains   []identifier.FailureDomain
	VMsPerDomain     int
	BackendServers   int // over all failure domains
	SlotsPerServer   identifier.Slots
	Profiles         []profileparser.Profile // created at the start
	Logger           log.Logger
	AdjustVMSettings func(*settingsloader.Settings) // nil: the defaults
}

const (
	anyPort       = "127.0.0.1:0"
	listedAddress = "127.0.0.1:1"
)
