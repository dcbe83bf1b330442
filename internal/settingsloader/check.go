package settingsloader

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/authenticator"
)

const (
	maxNameLength      = 63
	maxFailureDomains  = 256
	maxPeers           = 256
	maxPlatformWait    = time.Minute
	maxRetention       = 24 * time.Hour
	maxShutdownTimeout = 10 * time.Minute
	maxTasksPerJob     = 100_000
	maxBodyBytes       = 64 << 20
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// check returns a *FieldError for the first setting that is out of bounds.
func check(s Settings, l locator) error {
	checks := []func(Settings, locator) error{
		checkNames, checkListen, checkPeers, checkPlatform, checkCallers, checkOperators, checkRecords, checkTLS,
	}
	for _, c := range checks {
		if err := c(s, l); err != nil {
			return err
		}
	}
	return nil
}

func checkNames(s Settings, l locator) error {
	if err := checkName(string(s.VM), "vm", l); err != nil {
		return err
	}
	if err := checkName(string(s.FailureDomain), "failureDomain", l); err != nil {
		return err
	}
	if len(s.FailureDomains) > maxFailureDomains {
		return l.fieldError("failureDomains", fmt.Sprintf("has more than %d entries", maxFailureDomains))
	}
	for _, d := range s.FailureDomains {
		if err := checkName(string(d), "failureDomains", l); err != nil {
			return err
		}
	}
	if !slices.Contains(s.FailureDomains, s.FailureDomain) {
		return l.fieldError("failureDomains", fmt.Sprintf("does not contain this VM's own failure domain %q", s.FailureDomain))
	}
	return nil
}

func checkName(name, field string, l locator) error {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		return l.fieldError(field, fmt.Sprintf("%q is not a name of at most %d lower-case letters, digits and inner hyphens", name, maxNameLength))
	}
	return nil
}

func checkListen(s Settings, l locator) error {
	fields := []struct{ name, address string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.operators", s.Listen.Operators},
		{"listen.peers", s.Listen.Peers},
	}
	for _, f := range fields {
		if err := checkAddress(f.address, f.name, l); err != nil {
			return err
		}
	}
	if peers, err := netip.ParseAddrPort(s.Listen.Peers); err == nil && peers.Addr().IsUnspecified() {
		return l.fieldError("listen.peers", fmt.Sprintf("%q is unspecified, but peers connect to it: it has to be an address of this VM", s.Listen.Peers))
	}
	return nil
}

func checkAddress(address, field string, l locator) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return l.fieldError(field, fmt.Sprintf("%q is not an IP number and port", address))
	}
	return nil
}

func checkPeers(s Settings, l locator) error {
	if len(s.Peers) > maxPeers {
		return l.fieldError("peers", fmt.Sprintf("has more than %d entries", maxPeers))
	}
	for _, p := range s.Peers {
		if err := checkAddress(p, "peers", l); err != nil {
			return err
		}
	}
	return nil
}

func checkPlatform(s Settings, l locator) error {
	u, err := url.Parse(s.Platform.URL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return l.fieldError("platform.url", fmt.Sprintf("%q is not an http or https URL", s.Platform.URL))
	}
	if err := checkDuration(s.Platform.Timeout, maxPlatformWait, "platform.timeout", l); err != nil {
		return err
	}
	return checkDuration(s.Platform.VMListInterval, maxPlatformWait, "platform.vmListInterval", l)
}

func checkCallers(s Settings, l locator) error {
	if err := checkCount(s.Callers.MaxBodyBytes, maxBodyBytes, "callers.maxBodyBytes", l); err != nil {
		return err
	}
	if err := checkCount(int64(s.Callers.MaxTasks), maxTasksPerJob, "callers.maxTasks", l); err != nil {
		return err
	}
	if err := checkCount(int64(s.Callers.MaxRequests), 1<<20, "callers.maxRequests", l); err != nil {
		return err
	}
	return checkDuration(s.Callers.MaxWait, time.Hour, "callers.maxWait", l)
}

func checkOperators(s Settings, l locator) error {
	hash := s.Operators.BootstrapTokenHash
	if hash == "" {
		return nil
	}
	var parsed authenticator.Hash
	if err := parsed.UnmarshalText([]byte(hash)); err != nil {
		return l.fieldError("operators.bootstrapTokenHash", err.Error())
	}
	return nil
}

func checkRecords(s Settings, l locator) error {
	if err := checkDuration(s.Records.Retention, maxRetention, "records.retention", l); err != nil {
		return err
	}
	if err := checkDuration(s.Records.MaxClockSkew, time.Minute, "records.clockBound", l); err != nil {
		return err
	}
	if err := checkCount(int64(s.Records.MaxCount), 1<<24, "records.maxCount", l); err != nil {
		return err
	}
	return checkDuration(s.Shutdown.Timeout, maxShutdownTimeout, "shutdown.timeout", l)
}

func checkTLS(s Settings, l locator) error {
	t := s.TLS
	if t == (TLS{}) {
		return nil
	}
	if t.CertificateFile == "" || t.KeyFile == "" || t.AuthorityFile == "" {
		return l.fieldError("tls", "needs certificateFile, keyFile and authorityFile together")
	}
	return nil
}

func checkDuration(d, limit time.Duration, field string, l locator) error {
	if d <= 0 || d > limit {
		return l.fieldError(field, fmt.Sprintf("%v is not above 0 and at most %v", d, limit))
	}
	return nil
}

func checkCount(n, limit int64, field string, l locator) error {
	if n <= 0 || n > limit {
		return l.fieldError(field, fmt.Sprintf("%d is not from 1 to %d", n, limit))
	}
	return nil
}
