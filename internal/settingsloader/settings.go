// Package settingsloader reads and checks the settings of an entry VM's daemon.
package settingsloader

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// Settings are the settings of one entry VM.
type Settings struct {
	VM             identifier.VMID            `yaml:"vm"`
	FailureDomain  identifier.FailureDomain   `yaml:"failureDomain"`
	FailureDomains []identifier.FailureDomain `yaml:"failureDomains"` // all of the deployment, in the same order on every VM
	Listen         Listen                     `yaml:"listen"`
	Peers          []string                   `yaml:"peers"` // addresses of some peers, each an IP and port
	Platform       Platform                   `yaml:"platform"`
	Callers        Callers                    `yaml:"callers"`
	Operators      Operators                  `yaml:"operators"`
	Records        Records                    `yaml:"records"`
	Shutdown       Shutdown                   `yaml:"shutdown"`
	TLS            TLS                        `yaml:"tls"`
}

// Listen holds the addresses to listen on, each an IP and port.
type Listen struct {
	Callers   string `yaml:"callers"`
	Operators string `yaml:"operators"`
	Peers     string `yaml:"peers"`
}

// Platform says how to reach the platform's key-value service.
type Platform struct {
	URL            string        `yaml:"url"`
	Timeout        time.Duration `yaml:"timeout"`        // of one call
	VMListInterval time.Duration `yaml:"vmListInterval"` // between two reads of the list of VMs
}

// Callers bounds the requests of callers.
type Callers struct {
	RequireTokens bool          `yaml:"requireTokens"` // false: a bearer token is the name of its team; only for loopback
	MaxBodyBytes  int64         `yaml:"maxBodyBytes"`
	MaxTasks      int           `yaml:"maxTasks"`    // of one job
	MaxRequests   int           `yaml:"maxRequests"` // open at one time
	MaxWait       time.Duration `yaml:"maxWait"`     // of one fetch
}

// Operators says who may use the operators' API.
type Operators struct {
	// BootstrapTokenHash is the SHA-256, in hexadecimal, of an operator's token
	// that is valid before any other is created; empty for none.
	BootstrapTokenHash string `yaml:"bootstrapTokenHash"`
}

// Records bounds how long and how many records of submissions are kept.
type Records struct {
	Retention    time.Duration `yaml:"retention"`  // from the creation of the submission id
	MaxClockSkew time.Duration `yaml:"clockBound"` // largest difference between two clocks
	MaxCount     int           `yaml:"maxCount"`
}

// Shutdown bounds a graceful shutdown.
type Shutdown struct {
	Timeout time.Duration `yaml:"timeout"`
}

// TLS names the certificate files for connections between the deployment's own
// processes. If all are empty, the connections are not encrypted.
type TLS struct {
	CertificateFile string `yaml:"certificateFile"`
	KeyFile         string `yaml:"keyFile"`
	AuthorityFile   string `yaml:"authorityFile"`
}
