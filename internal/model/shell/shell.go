// Package shell implements the command line of standin, which simulates backend servers,
// workers and callers.
package shell

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/model/audit"
	"sycamoredeck.example/internal/model/caller"
	"sycamoredeck.example/internal/model/front"
	"sycamoredeck.example/internal/model/server"
	"sycamoredeck.example/internal/model/worker"
	"sycamoredeck.example/internal/schema/wire"
)

// Limits on the load that a single process generates.
const (
	maxRate     = 100_000
	maxDuration = 10 * time.Minute
	maxWorkers  = 2000
	maxServers  = 200
)

var errNotLoopback = errors.New("only loopback addresses are allowed")

// Main executes a command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use: "standin", Short: "Model of the backend servers, workers and callers around sycamoredeck",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(serverCommand(out), workerCommand(), callerCommand(out), auditCommand(out))
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintf(errOut, "standin: %v\n", err)
		return 1
	}
	return 0
}

// requireLoopback returns an error unless all addresses are on this machine.
func requireLoopback(addresses ...string) error {
	for _, a := range addresses {
		host, _, err := net.SplitHostPort(a)
		if err != nil {
			return fmt.Errorf("%q: %w", a, err)
		}
		if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
			return fmt.Errorf("%q: %w", a, errNotLoopback)
		}
	}
	return nil
}

func printJSON(out io.Writer, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, string(data))
	return err
}

func serverCommand(out io.Writer) *cobra.Command {
	a := &wire.Announcement{}
	o := server.Options{Announcement: a}
	var journal string
	var leave time.Duration
	var count int
	c := &cobra.Command{Use: "server", Short: "Run a backend server", Args: cobra.NoArgs}
	f := c.Flags()
	f.StringSliceVar(&o.Entries, "entries", nil, "addresses behind the balancer")
	f.StringVar(&o.Listen, "listen", "127.0.0.1:0", "address to serve on")
	f.StringVar(&a.Address, "advertise", "", "address it announces; the one it serves on when empty")
	f.StringVar(&a.BackendServerId, "id", "server-1", "backend server id")
	f.StringVar(&a.Service, "service", "", "service it runs")
	f.StringVar(&a.FailureDomain, "failure-domain", "", "failure domain it stands in")
	f.StringVar(&a.WorkerId, "worker", "", "worker it stands on")
	f.Uint32Var(&a.Slots, "slots", 8, "requests it runs at once")
	f.Uint32Var(&a.Connections, "connections", 64, "connections it accepts")
	f.DurationVar(&o.ServiceTime, "service-time", 5*time.Millisecond, "mean time a request takes")
	f.DurationVar(&o.Delay, "delay", 0, "delay one way")
	f.Float64Var(&o.Faults.Slow, "slow", 1, "fault: multiply the service time")
	f.DurationVar(&o.Faults.NoisePeriod, "noise-period", 0, "fault: period of noisy waves")
	f.Float64Var(&o.Faults.NoiseFactor, "noise-factor", 5, "fault: service time in a noisy half, as a multiple")
	f.Float64Var(&o.Faults.Refuse, "refuse", 0, "fault: part of the requests refused")
	f.Float64Var(&o.Faults.Hang, "hang", 0, "fault: part of the requests never answered")
	f.Float64Var(&o.Faults.Short, "short", 0, "fault: part of the answers cut short")
	f.Float64Var(&o.Faults.Mismatch, "mismatch", 0, "fault: part of the answers under another id")
	f.StringVar(&journal, "journal", "", "file for what was run")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the random choices")
	f.IntVar(&count, "count", 1, "backend servers to run in this process, on ports from that of --listen on")
	f.DurationVar(&leave, "leave-time", 4*time.Second, "time between announcing to leave and stopping")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if err := requireLoopback(append([]string{o.Listen}, o.Entries...)...); err != nil {
			return err
		}
		var err error
		if o.Journal, err = front.OpenJournal(journal, a.BackendServerId); err != nil {
			return err
		}
		if a.Address == "" {
			a.Address = o.Listen
		}
		a.Incarnation = uint64(time.Now().UnixNano())
		if count < 1 || count > maxServers {
			return fmt.Errorf("count must be 1 to %d", maxServers)
		}
		if count > 1 {
			return runServers(c.Context(), out, o, leave, count)
		}
		stats, err := server.Run(c.Context(), o, leave)
		if err != nil {
			return err
		}
		return printJSON(out, stats)
	}
	return c
}

// runServers runs several backend servers with consecutive ids and ports, and prints
// their aggregated statistics.
func runServers(ctx context.Context, out io.Writer, o server.Options, leave time.Duration, count int) error {
	host, first, err := net.SplitHostPort(o.Listen)
	if err != nil {
		return err
	}
	port, err := strconv.Atoi(first)
	if err != nil {
		return err
	}
	var group errgroup.Group
	all := make([]server.Stats, count)
	for i := range count {
		options := o
		options.Listen = net.JoinHostPort(host, strconv.Itoa(port+i))
		options.Seed += uint64(i)
		options.Announcement = proto.Clone(o.Announcement).(*wire.Announcement)
		options.Announcement.BackendServerId = fmt.Sprintf("%s-%d", o.Announcement.BackendServerId, i)
		options.Announcement.Address = options.Listen
		group.Go(func() error {
			var err error
			all[i], err = server.Run(ctx, options, leave)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	var sum server.Stats
	for _, s := range all {
		sum = sum.Add(s)
	}
	return printJSON(out, sum)
}

func workerCommand() *cobra.Command {
	w := &wire.Worker{Capacity: &wire.Resources{}}
	o := worker.Options{Worker: w}
	var entries []string
	var journal string
	var count int
	c := &cobra.Command{Use: "worker", Short: "Run a worker", Args: cobra.NoArgs}
	f := c.Flags()
	f.StringSliceVar(&entries, "entries", nil, "addresses behind the balancer")
	f.StringVar(&w.WorkerId, "id", "worker-1", "worker id")
	f.StringVar(&w.Rack, "rack", "", "rack it stands in")
	f.StringVar(&w.FailureDomain, "failure-domain", "", "failure domain it stands in")
	f.Uint64Var(&w.Capacity.MilliProcessors, "milli-processors", 64000, "capacity in thousandths of a processor")
	f.Uint64Var(&w.Capacity.MemoryBytes, "memory-bytes", 250<<30, "capacity in bytes")
	f.Uint64Var(&w.Capacity.Accelerators, "accelerators", 0, "capacity in accelerators")
	f.DurationVar(&o.ReportInterval, "report-interval", 500*time.Millisecond, "time between reports")
	f.DurationVar(&o.UnitTime, "unit-time", 50*time.Millisecond, "time one unit of work takes")
	f.DurationVar(&o.UsageLag, "usage-lag", 2*time.Second, "age of the usage it reports")
	f.BoolVar(&o.FailEverything, "fail-everything", false, "fault: every task fails")
	f.Float64Var(&o.SizeFactor, "size-factor", 1, "fault: true size as a multiple of the declared one")
	f.DurationVar(&o.NoisePeriod, "noise-period", 0, "fault: period of noisy waves")
	f.Float64Var(&o.NoiseFactor, "noise-factor", 5, "fault: unit time in a noisy half, as a multiple")
	f.IntVar(&count, "count", 1, "workers to run in this process, numbered behind the id")
	f.StringVar(&journal, "journal", "", "file for what was run")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if err := requireLoopback(entries...); err != nil {
			return err
		}
		if count < 1 || count > maxWorkers {
			return fmt.Errorf("count must be 1 to %d", maxWorkers)
		}
		var err error
		if o.Journal, err = front.OpenJournal(journal, w.WorkerId); err != nil {
			return err
		}
		if o.Balancer, err = front.New(entries); err != nil {
			return err
		}
		defer o.Balancer.Close()
		return runWorkers(c.Context(), o, count)
	}
	return c
}

// runWorkers runs one worker, or several with numbered ids.
func runWorkers(ctx context.Context, o worker.Options, count int) error {
	if count == 1 {
		return worker.Run(ctx, o)
	}
	var group errgroup.Group
	for i := range count {
		options := o
		options.Worker = proto.Clone(o.Worker).(*wire.Worker)
		options.Worker.WorkerId = fmt.Sprintf("%s-%d", o.Worker.WorkerId, i)
		group.Go(func() error { return worker.Run(ctx, options) })
	}
	return group.Wait()
}

func callerCommand(out io.Writer) *cobra.Command {
	var o caller.Options
	var journal, output string
	c := &cobra.Command{Use: "caller", Short: "Send an open-loop load and report", Args: cobra.NoArgs}
	f := c.Flags()
	f.StringSliceVar(&o.Entries, "entries", nil, "addresses behind the balancer")
	f.StringVar(&o.ClientAccount, "client-account", "", "client account that calls")
	f.StringVar(&o.Service, "service", "", "service that is called")
	f.Float64Var(&o.Rate, "rate", 100, "requests a second")
	f.DurationVar(&o.Duration, "duration", 5*time.Second, "time to send for")
	f.DurationVar(&o.Timeout, "timeout", time.Second, "timeout of each request")
	f.IntVar(&o.PayloadBytes, "payload-bytes", 256, "size of each request")
	f.Float64Var(&o.IdempotentShare, "idempotent", 1, "part of the requests that may be repeated")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the random choices")
	f.StringVar(&o.Prefix, "prefix", "r", "begin of the request ids")
	f.BoolVar(&o.FollowRetryAfter, "follow-retry-after", false, "return when told, after a request wasn't run")
	f.IntVar(&o.MaxRetries, "max-returns", 5, "returns of one request")
	f.IntVar(&o.Connections, "connections", 1, "connections to each entry")
	f.StringVar(&o.Direct, "direct", "", "call this backend server without an entry, as a baseline")
	f.StringVar(&journal, "journal", "", "file for what callers were told")
	f.StringVar(&output, "output", "json", "text or json")
	c.RunE = func(c *cobra.Command, _ []string) error {
		targets := o.Entries
		if o.Direct != "" {
			targets = []string{o.Direct}
		}
		if err := requireLoopback(targets...); err != nil {
			return err
		}
		if o.Rate <= 0 || o.Rate > maxRate || o.Duration > maxDuration {
			return fmt.Errorf("rate must be above 0 and at most %d, duration at most %v", maxRate, maxDuration)
		}
		var err error
		if o.Journal, err = front.OpenJournal(journal, "caller"); err != nil {
			return err
		}
		report, err := caller.Run(c.Context(), o)
		if err != nil {
			return err
		}
		if output == "json" {
			return printJSON(out, report)
		}
		fmt.Fprintf(out, "%-14s answered %d of %d, not run %d, unknown %d, failed %d, wrong answers %d, p50 %.1f ms, p99 %.1f ms\n",
			o.Service, report.Completed, report.Sent, report.NotRun, report.Unknown, report.Failed, report.Wrong,
			float64(report.P50Us)/1000, float64(report.P99Us)/1000)
		for _, e := range report.Errors {
			fmt.Fprintf(out, "  %s\n", e)
		}
		return nil
	}
	return c
}

func auditCommand(out io.Writer) *cobra.Command {
	var oncePrefix string
	c := &cobra.Command{Use: "audit JOURNAL...", Short: "Find broken promises in journals; exit code 1 if any", Args: cobra.MinimumNArgs(1)}
	c.Flags().StringVar(&oncePrefix, "once-prefix", "once", "begin of the ids of requests that must not run twice")
	c.RunE = func(_ *cobra.Command, paths []string) error {
		events, err := audit.Read(paths)
		if err != nil {
			return err
		}
		findings := audit.Check(events, func(id string) bool { return strings.HasPrefix(id, oncePrefix) })
		if err := printJSON(out, findings); err != nil {
			return err
		}
		if n := findings.Violations(); n > 0 {
			return fmt.Errorf("%d violations", n)
		}
		return nil
	}
	return c
}
