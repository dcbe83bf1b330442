package cmd

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/platformcaller"
	"github.com/peppertrack/peppertrack/internal/standin/backendserver"
)

// Timeouts of the administration's HTTP server.
const (
	adminHeaderTimeout = 5 * time.Second
	adminCloseTimeout  = 2 * time.Second
)

type backendFlags struct {
	host           string
	firstPort      int
	admin          string
	addressFile    string
	platform       string
	count          int
	prefix         string
	failureDomains []string
	rackSize       int
	slots          int
	connections    int
	millicores     int64
	memory         int64
	accelerators   int
	usageLag       time.Duration
}

func newBackendCmd() *cobra.Command {
	var flags backendFlags
	c := &cobra.Command{
		Use:   "backend",
		Short: "Serve many backend servers, each on its own port",
		Long: `Serve stand-ins for backend servers over HTTP/2 in clear text and register them
with the platform. Faults are set at run time by POST /v1/faults at the address
of --admin, where GET /v1/audit streams every start that the servers saw.

The first line of output says where the administration listens. SIGTERM ends the
running tasks and unregisters the servers.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return runBackend(c, flags) },
	}
	f := c.Flags()
	f.StringVar(&flags.host, "host", backendserver.DefaultHost, "IP number to listen on")
	f.IntVar(&flags.firstPort, "first-port", 0, "port of the first server, the others use the next ones; 0 takes free ports")
	f.StringVar(&flags.admin, "admin", "127.0.0.1:0", "IP number and port of the administration; port 0 takes a free one")
	f.StringVar(&flags.addressFile, "address-file", "", "file into which the address of --admin is written")
	f.StringVar(&flags.platform, "platform", "", "URL of the platform's service; empty: the servers are not registered")
	f.IntVar(&flags.count, "count", 8, "number of backend servers")
	f.StringVar(&flags.prefix, "prefix", "backend", "prefix of the servers' ids; must differ between processes")
	f.StringSliceVar(&flags.failureDomains, "failure-domains", []string{"domain-a"}, "failure domains, to which the racks are assigned in turn")
	f.IntVar(&flags.rackSize, "rack-size", backendserver.DefaultRackSize, "servers in a rack")
	f.IntVar(&flags.slots, "slots", int(backendserver.DefaultSlots), "slots of a server")
	f.IntVar(&flags.connections, "connections", backendserver.DefaultConnections, "limit of a server's connections")
	f.Int64Var(&flags.millicores, "millicores", int64(backendserver.DefaultMillicores), "processor capacity of a server, in thousandths of a core")
	f.Int64Var(&flags.memory, "memory-mebibytes", int64(backendserver.DefaultMemory), "memory of a server, in mebibytes")
	f.IntVar(&flags.accelerators, "accelerators", 0, "accelerators of a server")
	f.DurationVar(&flags.usageLag, "usage-lag", backendserver.DefaultUsageLag, "delay of the usage reports")
	return c
}

func (f backendFlags) check() error {
	if _, err := netip.ParseAddr(f.host); err != nil {
		return errors.Newf("--host: %q is not an IP number", f.host)
	}
	if f.usageLag <= 0 {
		return errors.Newf("--usage-lag: %v is not above 0", f.usageLag)
	}
	for _, limit := range []struct {
		flag string
		n    int64
	}{
		{"--count", int64(f.count)},
		{"--rack-size", int64(f.rackSize)},
		{"--slots", int64(f.slots)},
		{"--connections", int64(f.connections)},
		{"--millicores", f.millicores},
		{"--memory-mebibytes", f.memory},
	} {
		if limit.n < 1 {
			return errors.Newf("%s: %d is below 1", limit.flag, limit.n)
		}
	}
	return nil
}

func (f backendFlags) options() backendserver.Options {
	domains := make([]identifier.FailureDomain, 0, len(f.failureDomains))
	for _, d := range f.failureDomains {
		domains = append(domains, identifier.FailureDomain(d))
	}
	return backendserver.Options{
		Count:          f.count,
		IDPrefix:       f.prefix,
		Host:           f.host,
		FirstPort:      f.firstPort,
		FailureDomains: domains,
		RackSize:       f.rackSize,
		Slots:          identifier.Slots(f.slots),
		Connections:    f.connections,
		Millicores:     identifier.Millicores(f.millicores),
		Memory:         identifier.Mebibytes(f.memory),
		Accelerators:   f.accelerators,
		UsageLag:       f.usageLag,
	}
}

func runBackend(c *cobra.Command, flags backendFlags) error {
	if err := flags.check(); err != nil {
		return err
	}
	opts := flags.options()
	opts.Logger = log.NewJSONLogger(log.NewSyncWriter(c.ErrOrStderr()))
	if flags.platform != "" {
		client, err := platformcaller.New(platformcaller.Options{BaseURL: flags.platform})
		if err != nil {
			return errors.Wrap(err, "--platform")
		}
		defer client.Close()
		opts.Registrar = client
	}
	fleet, err := backendserver.NewFleet(opts)
	if err != nil {
		return err
	}
	l, err := listenAndWriteAddress("--admin", flags.admin, flags.addressFile)
	if err != nil {
		return errors.CombineErrors(err, fleet.Close())
	}
	fmt.Fprintf(c.OutOrStdout(), "administration listening on http://%s\n", l.Addr())
	admin := &http.Server{Handler: fleet.Handler(), ReadHeaderTimeout: adminHeaderTimeout}
	g, ctx := errgroup.WithContext(c.Context())
	g.Go(func() error { return ignoreServerClosed(admin.Serve(l)) })
	g.Go(func() error {
		<-ctx.Done()
		return closeBackend(fleet, admin)
	})
	return ignoreCanceled(g.Wait())
}

func closeBackend(fleet *backendserver.Fleet, admin *http.Server) error {
	err := fleet.Close()
	ctx, cancel := context.WithTimeout(context.Background(), adminCloseTimeout)
	defer cancel()
	return errors.CombineErrors(err, admin.Shutdown(ctx))
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
