package systemrunner

import (
	"github.com/go-kit/log"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/profileparser"
	"github.com/peppertrack/peppertrack/internal/settingsloader"
)

// Options configure a System.
type Options struct {
	FailureDomains   []identifier.FailureDomain
	VMsPerDomain     int
	BackendServers   int // over all failure domains
	SlotsPerServer   identifier.Slots
	Profiles         []profileparser.Profile // created when the System starts
	Logger           log.Logger
	AdjustVMSettings func(*settingsloader.Settings) // called for each entry VM; nil keeps the defaults
}

const (
	anyLoopbackPort    = "127.0.0.1:0"
	placeholderAddress = "127.0.0.1:1"
)
