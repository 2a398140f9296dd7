// This file defines Entry, its startup and its shutdown.

// Package entry implements the entry process. It serves callers and operators, and
// receives the announcements of backend servers and the reports of workers.
package entry

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"

	"sycamoredeck.example/internal/base/admin"
	"sycamoredeck.example/internal/base/files"
	"sycamoredeck.example/internal/base/intake"
	"sycamoredeck.example/internal/base/link"
	"sycamoredeck.example/internal/base/memory"
	"sycamoredeck.example/internal/base/setup"
	"sycamoredeck.example/internal/base/spans"
	"sycamoredeck.example/internal/fleet/roster"
	"sycamoredeck.example/internal/fleet/slots"
	"sycamoredeck.example/internal/front/calls"
	"sycamoredeck.example/internal/front/fence"
	"sycamoredeck.example/internal/front/proxy"
	"sycamoredeck.example/internal/front/relay"
	"sycamoredeck.example/internal/front/route"
	"sycamoredeck.example/internal/front/uplink"
	"sycamoredeck.example/internal/schema/wire"
)

const (
	// sweepInterval is how often backend servers and waiting calls are checked for expiry.
	sweepInterval = 50 * time.Millisecond
	// settleTime is the time within which all entries learn of a change of entries, which
	// takes up to two hellos.
	settleTime = time.Second
	// messageOverhead bounds the size of a message beyond its payload.
	messageOverhead      = 64 << 10
	housekeepingInterval = time.Second
	// gcPercent is Go's default; an entry has little live data.
	gcPercent = 100
)

// Platform connects an entry with clients that don't speak its gRPC interface.
// The zero value connects with none.
type Platform struct {
	// Serve starts serving clients through a leader proxy, and reports to the platform's load
	// balancer whether the entry is ready. The returned stop waits for calls in flight.
	Serve func(s *wire.EntrySettings, limits intake.Limits, leader proxy.Leader, ready func() bool) (stop func(), err error)
}

// Entry is a running entry process.
type Entry struct {
	platform Platform
	reloads  <-chan *wire.EntrySettings
	settings *wire.EntrySettings
	logger   *slog.Logger
	clock    clockwork.Clock
	pool     link.Pool
	admin    admin.Server
	uplink   *uplink.Uplink
	relay    *relay.Relay
	roster   *roster.Roster
	calls    *calls.Server
	sharer   *sharer
	listener *intake.CallListener
	server   *grpc.Server
	health   *health.Server
	divider  atomic.Pointer[slots.Divider]
	draining atomic.Bool
	closing  chan struct{}
	features features
}

// Run serves until the context ends, and then drains.
func Run(ctx context.Context, settings *wire.EntrySettings, logger *slog.Logger, platform Platform, reloads <-chan *wire.EntrySettings) error {
	e := &Entry{platform: platform, reloads: reloads, settings: settings, logger: logger, clock: clockwork.NewRealClock(), closing: make(chan struct{})}
	var err error
	if e.features, err = parseFeatures(settings.SwitchedOn); err != nil {
		return err
	}
	flush, err := spans.StartExport(ctx, "entry", settings.Common)
	if err != nil {
		return err
	}
	defer flush(context.WithoutCancel(ctx))
	listener, err := net.Listen("tcp", settings.Common.ListenAddress)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	e.listener = intake.NewCallListener(listener, intake.NewCallLimits(settings.Common, memory.NewLimit(settings.MemoryLimitMb), files.NewEntryBudget(settings.MaxOpenFiles).Peers, uplink.NotExecuted+"too many calls"))
	e.build()
	limits := newLimits(settings, logger)
	if err := e.admin.Start(settings.Common.AdminAddress, limits); err != nil {
		return err
	}
	stopPlatform := func() {}
	if platform.Serve != nil {
		if stopPlatform, err = platform.Serve(settings, limits, e.leaderProxy(), e.admin.Ready); err != nil {
			return err
		}
	}
	logger.Info("started", "address", settings.Common.ListenAddress, "control", controlAddresses(settings))
	return e.serve(ctx, stopPlatform)
}

// newLimits applies the memory limit and returns the limits for callers.
func newLimits(s *wire.EntrySettings, logger *slog.Logger) intake.Limits {
	limit := memory.NewLimit(s.MemoryLimitMb)
	limit.Apply(gcPercent)
	limits := intake.NewLimits(s.Web, limit, files.NewEntryBudget(s.MaxOpenFiles).Callers, logger)
	logger.Info("limits for callers", "memory_mb", int64(limit)>>20, "request_bytes", limits.Budget.Limit, "connections", limits.Connections)
	return limits
}

// controlAddresses returns the addresses of control replicas in the settings.
func controlAddresses(s *wire.EntrySettings) []string {
	return append(setup.SeedAddresses(s.Seeds), s.ControlAddresses...)
}

// watchSettings applies the control addresses of reloaded settings. Other changes take
// effect at the next start.
func (e *Entry) watchSettings(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case settings := <-e.reloads:
			addresses := controlAddresses(settings)
			e.uplink.SetAddresses(addresses)
			e.logger.Info("settings applied", "control", addresses)
		}
	}
}

// build creates the components of the entry and registers its services.
func (e *Entry) build() {
	common := e.settings.Common
	e.pool.Options = link.Options{Traced: common.TraceEndpoint != "", SourceIP: common.SourceAddress}
	e.divider.Store(&slots.Divider{})
	e.uplink = uplink.New(uplink.Options{
		Clock: e.clock, Logger: e.logger, Pool: &e.pool, Addresses: controlAddresses(e.settings),
		Self:             &wire.EntryStatus{EntryId: common.InstanceId, Address: setup.AdvertisedAddress(common), FailureDomain: common.FailureDomain},
		OnConfiguration:  func(v *wire.ConfigurationVersion) { e.calls.Configure(v) },
		OnEntriesChanged: e.entriesChanged,
		OnDrainedChanged: func(domains []string) { e.roster.SetDrained(e.clock.Now(), domains) },
	})
	e.roster = roster.New(roster.Options{
		MaxAge:   e.settings.EvidenceLimit.AsDuration(),
		OnChange: func(service string, usable []*wire.Announcement) { e.calls.Update(service, usable) },
	})
	e.calls = calls.New(calls.Options{
		Clock: e.clock, Settings: e.settings, Roster: e.roster,
		Fence: fence.New(common.InstanceId, e.uplink, e.clock),
		Route: route.Options{
			Clock: e.clock, FailureDomain: common.FailureDomain, QueueLength: int(e.settings.QueueLength),
			SlotShare: func(server string, slots uint32) int {
				return e.divider.Load().Share(server, slots, e.clock.Now())
			},
			EntryCount: func() int { return len(e.divider.Load().Entries()) },
		},
	})
	e.relay = relay.New(common.InstanceId, e.uplink, e.clock, e.logger)
	e.sharer = &sharer{entry: e}
	e.server, e.health = link.NewServer(int(e.settings.MaxPayloadBytes)+messageOverhead, e.pool.Options.Traced, e.listener.ServerOptions()...)
	wire.RegisterCallerServiceServer(e.server, e.calls)
	wire.RegisterWorkerServiceServer(e.server, e.relay)
	wire.RegisterAnnounceServiceServer(e.server, &announceService{Entry: e})
	wire.RegisterEntryServiceServer(e.server, &entryService{Entry: e})
	wire.RegisterJobServiceServer(e.server, &jobService{Entry: e})
	wire.RegisterOperatorServiceServer(e.server, &operatorService{Entry: e})
	wire.RegisterWorkServiceServer(e.server, &workService{leader: e.leaderProxy()})
}

// entriesChanged divides the slots among the new list of entries. sweep recomputes them once
// the change has settled.
func (e *Entry) entriesChanged(ids []string) {
	next := e.divider.Load().WithEntries(e.settings.Common.InstanceId, ids, e.clock.Now(), settleTime)
	e.divider.Store(&next)
	e.calls.Resize()
}

func (e *Entry) serve(ctx context.Context, stopPlatform func()) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, background := errgroup.WithContext(background)
	group.Go(func() error { e.uplink.Run(background); return nil })
	group.Go(func() error { e.relay.Run(background); return nil })
	group.Go(func() error { e.sharer.run(background); return nil })
	group.Go(func() error { e.sweep(background); return nil })
	group.Go(func() error { e.watchSettings(background); return nil })
	served := make(chan error, 1)
	go func() { served <- e.server.Serve(e.listener) }()
	select {
	case <-ctx.Done():
		e.drain(stopPlatform)
	case err := <-served:
		cancel()
		return trace.Wrap(err)
	}
	cancel()
	err := group.Wait()
	e.pool.Close()
	e.admin.Close()
	e.logger.Info("stopped")
	return err
}

// drain shuts down gracefully: it serves new calls until the load balancer has noticed
// that the entry isn't ready, then stops listening and completes the calls in flight.
func (e *Entry) drain(stopPlatform func()) {
	e.logger.Info("draining")
	e.draining.Store(true)
	e.setReady(false)
	e.clock.Sleep(e.settings.Common.DrainDelay.AsDuration())
	e.relay.Close()
	close(e.closing)
	stopped := make(chan struct{})
	go func() {
		stopPlatform()
		e.server.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-e.clock.After(e.settings.Common.DrainTimeout.AsDuration()):
		e.logger.Warn("drain timeout exceeded, aborting calls in flight")
		e.server.Stop()
	}
}

// setReady reports the readiness to the load balancer, by HTTP and gRPC.
func (e *Entry) setReady(ready bool) {
	if e.admin.Ready() == ready {
		return
	}
	e.admin.SetReady(ready)
	state := healthpb.HealthCheckResponse_NOT_SERVING
	if ready {
		state = healthpb.HealthCheckResponse_SERVING
	}
	e.health.SetServingStatus(link.ReadyService, state)
	e.logger.Info("readiness changed", "ready", ready)
}

// sweep periodically removes expired backend servers and waiting calls, updates the slots
// and the readiness, and closes connections that are no longer needed.
func (e *Entry) sweep(ctx context.Context) {
	ticker := e.clock.NewTicker(sweepInterval)
	defer ticker.Stop()
	settled, hadSlots := true, false
	lastHousekeeping := e.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		now := e.clock.Now()
		e.roster.Sweep(now)
		e.calls.Shed()
		if settledNow := e.divider.Load().Settled(now); settledNow != settled {
			settled = settledNow
			hadSlots = hadSlots || (settledNow && len(e.divider.Load().Entries()) > 0)
			e.calls.Resize()
		}
		// Before its first slots have settled an entry would reject all calls.
		ready := hadSlots && e.uplink.Configuration() != nil && e.uplink.HasQuorum() && !e.draining.Load()
		e.setReady(ready)
		if now.Sub(lastHousekeeping) >= housekeepingInterval {
			lastHousekeeping = now
			e.uplink.CountQuorumLoss()
			e.pool.Retain(e.uplink.Addresses())
		}
	}
}
