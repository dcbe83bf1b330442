package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/spf13/cobra"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/jobsubmitter"
	"github.com/peppertrack/peppertrack/internal/profileparser"
	"github.com/peppertrack/peppertrack/internal/systemrunner"
)

const (
	tryDeadline    = 30 * time.Second // of the whole trial
	maxTryTasks    = 1900
	minTryRunTime  = 50 * time.Millisecond
	maxTryRunTime  = 500 * time.Millisecond
	tryProfile     = "trial"
	maxMetricsSize = 1 << 20 // bytes
)

type tryFlags struct {
	tasks   int
	servers int
	slots   int
	vms     int
	seed    uint64
	keep    bool
}

func newTryCmd() *cobra.Command {
	var f tryFlags
	cmd := &cobra.Command{
		Use:   "try",
		Short: "Run a whole system on loopback and submit one job to it",
		Long: `try needs no set-up: it runs stand-ins of the platform and of backend servers
and entry VMs in two failure domains, all in this process and on loopback. It
submits one job, shows its progress, prints its whole answer, the response time
over the ideal and the messages by kind, and ends.`,
		Args: usageArgs(cobra.NoArgs),
	}
	cmd.Flags().IntVar(&f.tasks, "tasks", 24, "number of the job's tasks")
	cmd.Flags().IntVar(&f.servers, "backend-servers", 8, "number of backend servers")
	cmd.Flags().IntVar(&f.slots, "slots", 8, "slots of each backend server")
	cmd.Flags().IntVar(&f.vms, "vms", 2, "number of entry VMs in each of the two failure domains")
	cmd.Flags().Uint64Var(&f.seed, "seed", 1, "seed of the tasks' run times")
	cmd.Flags().BoolVar(&f.keep, "keep", false, "print the addresses and keep the system running until SIGINT or SIGTERM")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error { return runTry(cmd, f) }
	return cmd
}

func (f tryFlags) check() error {
	bounds := []struct {
		name         string
		value, limit int
	}{
		{"--tasks", f.tasks, maxTryTasks},
		{"--backend-servers", f.servers, 100},
		{"--slots", f.slots, 64},
		{"--vms", f.vms, 8},
	}
	for _, b := range bounds {
		if b.value < 1 || b.value > b.limit {
			return usageErrorf("%s: %d is not from 1 to %d", b.name, b.value, b.limit)
		}
	}
	return nil
}

func runTry(cmd *cobra.Command, f tryFlags) (err error) {
	if err := f.check(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), tryDeadline)
	defer cancel()
	system, err := startTrial(ctx, f)
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, system.Close()) }()
	w := cmd.OutOrStdout()
	fmt.Fprintf(w, "running %d entry VMs in 2 failure domains and %d backend servers with %d slots each\n",
		2*f.vms, f.servers, f.slots)
	if f.keep {
		return serveUntilSignal(cmd.Context(), w, system)
	}
	return submitTrial(ctx, cmd, f, system)
}

// serveUntilSignal prints the addresses of the entry VMs and waits for SIGINT or
// SIGTERM.
func serveUntilSignal(ctx context.Context, w io.Writer, system *systemrunner.System) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	callers, operators := system.CallerAddresses(), system.OperatorAddresses()
	for _, vm := range slices.Sorted(maps.Keys(callers)) {
		fmt.Fprintf(w, "%s: callers http://%s operators http://%s\n", vm, callers[vm], operators[vm])
	}
	fmt.Fprintf(w, "jobs of the profile %q are served; a bearer token is the name of its team\n", tryProfile)
	<-ctx.Done()
	return nil
}

func startTrial(ctx context.Context, f tryFlags) (*systemrunner.System, error) {
	profile := profileparser.Default()
	profile.Name = tryProfile
	system, err := systemrunner.Start(systemrunner.Options{
		FailureDomains: []identifier.FailureDomain{"domain-a", "domain-b"},
		VMsPerDomain:   f.vms,
		BackendServers: f.servers,
		SlotsPerServer: identifier.Slots(f.slots),
		Profiles:       []profileparser.Profile{profile},
		Logger:         log.NewNopLogger(),
	})
	if err != nil {
		return nil, err
	}
	if err := system.AwaitReady(ctx); err != nil {
		return nil, errors.CombineErrors(err, system.Close())
	}
	return system, nil
}

// submitTrial submits the job, waits for its ending and prints the answer, the
// response time and the messages.
func submitTrial(ctx context.Context, cmd *cobra.Command, f tryFlags, system *systemrunner.System) error {
	s, err := jobsubmitter.New(ctx, jobsubmitter.Options{
		Addresses: slices.Sorted(maps.Values(system.CallerAddresses())),
		Token:     "trial",
		Seed:      f.seed,
	})
	if err != nil {
		return err
	}
	defer s.Close()
	submission, ideal := trialJob(f)
	submission, err = s.Prepare(submission)
	if err != nil {
		return err
	}
	w := cmd.OutOrStdout()
	fmt.Fprintf(w, "submitting %d tasks of %v to %v; the longest takes %v\n", f.tasks, minTryRunTime, maxTryRunTime, ideal)
	begin := time.Now()
	answer, err := s.Start(ctx, submission)
	if err != nil {
		return requestError(err)
	}
	if answer.Ending == nil {
		if answer, err = follow(cmd, s, answer, f.tasks); err != nil {
			return requestError(err)
		}
	}
	took := time.Since(begin)
	if err := newJobView(answer).writeText(w); err != nil {
		return err
	}
	fmt.Fprintf(w, "response time %v, %.2f of the ideal %v\n", took.Round(time.Millisecond), took.Seconds()/ideal.Seconds(), ideal)
	if err := printMessages(ctx, w, system); err != nil {
		return err
	}
	if _, ok := answer.Ending.(declarer.Complete); !ok {
		return errors.New("the job did not complete")
	}
	return nil
}

// trialJob returns the job and its ideal response time, which is the run time of
// its longest task.
func trialJob(f tryFlags) (submission jobsubmitter.Submission, ideal time.Duration) {
	random := rand.New(rand.NewPCG(f.seed, 0))
	submission = jobsubmitter.Submission{Profile: tryProfile, Deadline: tryDeadline}
	for i := range f.tasks {
		runTime := minTryRunTime + time.Duration(random.Int64N(int64(maxTryRunTime-minTryRunTime)))
		runTime = runTime.Round(time.Millisecond)
		ideal = max(ideal, runTime)
		submission.Tasks = append(submission.Tasks, jobsubmitter.Task{
			Payload: json.RawMessage(fmt.Sprintf(`{"sleepMillis":%d,"output":"result of task %d"}`, runTime.Milliseconds(), i)),
			RunTime: runTime,
		})
	}
	return submission, ideal
}

// messageCount counts the messages of one kind.
type messageCount struct {
	Needed uint64 `json:"needed"`
	Wasted uint64 `json:"wasted"`
}

// trialMetrics are the metrics that try reads from an entry VM.
type trialMetrics struct {
	Backends map[string]messageCount `json:"backends"`
	Peers    struct {
		MessagesSent uint64 `json:"messagesSent"`
		FramesSent   uint64 `json:"framesSent"`
	} `json:"peers"`
}

// printMessages prints the messages of all entry VMs by kind.
func printMessages(ctx context.Context, w io.Writer, system *systemrunner.System) error {
	total := map[string]messageCount{}
	var peerMessages, peerFrames uint64
	for _, address := range system.CallerAddresses() {
		metrics, err := readMetrics(ctx, address)
		if err != nil {
			return err
		}
		for kind, count := range metrics.Backends {
			sum := total[kind]
			total[kind] = messageCount{Needed: sum.Needed + count.Needed, Wasted: sum.Wasted + count.Wasted}
		}
		peerMessages += metrics.Peers.MessagesSent
		peerFrames += metrics.Peers.FramesSent
	}
	fmt.Fprintln(w, "messages with backend servers:")
	for _, kind := range slices.Sorted(maps.Keys(total)) {
		if count := total[kind]; count.Needed+count.Wasted > 0 {
			fmt.Fprintf(w, "  %-10s needed %d, wasted %d\n", kind, count.Needed, count.Wasted)
		}
	}
	fmt.Fprintf(w, "messages between entry VMs: %d in %d frames\n", peerMessages, peerFrames)
	return nil
}

func readMetrics(ctx context.Context, address string) (metrics trialMetrics, err error) {
	defer func() { err = errors.Wrapf(err, "reading the metrics of %s", address) }()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/debug/vars", http.NoBody)
	if err != nil {
		return metrics, err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return metrics, err
	}
	defer response.Body.Close()
	err = json.NewDecoder(io.LimitReader(response.Body, maxMetricsSize)).Decode(&metrics)
	return metrics, err
}
