package cmd

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/peppertrack/peppertrack/internal/standin/platformserver"
)

type platformFlags struct {
	listen      string
	addressFile string
	watchBound  time.Duration
	listLag     time.Duration
	seed        uint64
}

func newPlatformCmd() *cobra.Command {
	var flags platformFlags
	c := &cobra.Command{
		Use:   "platform",
		Short: "Serve the platform's key-value service and its list of VMs",
		Long: `Serve a stand-in for the platform's service over HTTP: keys with
compare-and-swap, leases and watches, and a lagging list of VMs. Everything is
kept in memory. Faults are set at run time by POST /v1/faults.

The first line of output says where it listens. SIGTERM ends it.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return runPlatform(c, flags) },
	}
	f := c.Flags()
	f.StringVar(&flags.listen, "listen", "127.0.0.1:7070", "IP number and port to listen on; port 0 takes a free one")
	f.StringVar(&flags.addressFile, "address-file", "", "file into which the address of --listen is written")
	f.DurationVar(&flags.watchBound, "watch-bound", 30*time.Second, "how long a watch waits for a change")
	f.DurationVar(&flags.listLag, "list-lag", time.Second, "how far the list of VMs lags behind")
	f.Uint64Var(&flags.seed, "seed", 1, "seed of the random faults")
	return c
}

func (f platformFlags) check() error {
	if f.watchBound <= 0 {
		return errors.Newf("--watch-bound: %v is not above 0", f.watchBound)
	}
	if f.listLag < 0 {
		return errors.Newf("--list-lag: %v is negative", f.listLag)
	}
	return nil
}

func runPlatform(c *cobra.Command, flags platformFlags) error {
	if err := flags.check(); err != nil {
		return err
	}
	l, err := listenAndWriteAddress("--listen", flags.listen, flags.addressFile)
	if err != nil {
		return err
	}
	s := platformserver.New(platformserver.Options{
		WatchBound: flags.watchBound,
		ListLag:    flags.listLag,
		Seed:       flags.seed,
	})
	fmt.Fprintf(c.OutOrStdout(), "platform listening on http://%s\n", l.Addr())
	g, ctx := errgroup.WithContext(c.Context())
	g.Go(func() error { return s.Serve(l) })
	g.Go(func() error {
		<-ctx.Done()
		return s.Close()
	})
	return ignoreCanceled(g.Wait())
}

func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
