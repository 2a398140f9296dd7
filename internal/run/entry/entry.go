// This file defines Entry, its start and its stop.

// Package entry is the entry process: it takes callers' requests, operators'
// commands, the announcements of backend servers and the reports of workers.
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
	"sycamoredeck.example/internal/base/link"
	"sycamoredeck.example/internal/base/setup"
	"sycamoredeck.example/internal/base/spans"
	"sycamoredeck.example/internal/fleet/roster"
	"sycamoredeck.example/internal/fleet/slots"
	"sycamoredeck.example/internal/front/calls"
	"sycamoredeck.example/internal/front/desk"
	"sycamoredeck.example/internal/front/fence"
	"sycamoredeck.example/internal/front/relay"
	"sycamoredeck.example/internal/front/route"
	"sycamoredeck.example/internal/front/uplink"
	"sycamoredeck.example/internal/schema/wire"
)

const (
	// sweepInterval is how often evidence and waiting calls are looked at.
	sweepInterval = 50 * time.Millisecond
	// settleTime is the time within which the other entries have surely seen a
	// change of entries: two hellos and some.
	settleTime = time.Second
	// messageOverhead is what a message may have beside its payload.
	messageOverhead      = 64 << 10
	housekeepingInterval = time.Second
)

// Platform connects an entry with clients that don't speak its gRPC interface.
// The zero value connects with none.
type Platform struct {
	// Serve starts to serve clients from a desk, and tells the platform's
	// balancer whether the entry is ready. It returns how to stop, which waits
	// for what is under way.
	Serve func(s *wire.EntrySettings, d desk.Desk, ready func() bool) (stop func(), err error)
}

// Entry is one running entry process.
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
	server   *grpc.Server
	health   *health.Server
	divider  atomic.Pointer[slots.Divider]
	draining atomic.Bool
	closing  chan struct{}
}

// Run serves until the context ends, then finishes what is in flight.
func Run(ctx context.Context, settings *wire.EntrySettings, logger *slog.Logger, platform Platform, reloads <-chan *wire.EntrySettings) error {
	e := &Entry{platform: platform, reloads: reloads, settings: settings, logger: logger, clock: clockwork.NewRealClock(), closing: make(chan struct{})}
	flush, err := spans.StartExport(ctx, "entry", settings.Common)
	if err != nil {
		return err
	}
	defer flush(context.WithoutCancel(ctx))
	e.build()
	listener, err := net.Listen("tcp", settings.Common.ListenAddress)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := e.admin.Start(settings.Common.AdminAddress); err != nil {
		return err
	}
	stopPlatform := func() {}
	if platform.Serve != nil {
		if stopPlatform, err = platform.Serve(settings, e.desk(), e.admin.Ready); err != nil {
			return err
		}
	}
	logger.Info("started", "address", settings.Common.ListenAddress, "control", controlAddresses(settings))
	return e.serve(ctx, listener, stopPlatform)
}

// controlAddresses are those at which the settings say that control replicas
// serve.
func controlAddresses(s *wire.EntrySettings) []string {
	return append(setup.SeedAddresses(s.Seeds), s.ControlAddresses...)
}

// watchSettings takes over the control replicas that settings read anew name.
// All else holds from the next start on.
func (e *Entry) watchSettings(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case fresh := <-e.reloads:
			addresses := controlAddresses(fresh)
			e.uplink.SetAddresses(addresses)
			e.logger.Info("settings taken", "control", addresses)
		}
	}
}

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
	e.server, e.health = link.NewServer(int(e.settings.MaxPayloadBytes)+messageOverhead, e.pool.Options.Traced)
	wire.RegisterCallerServiceServer(e.server, e.calls)
	wire.RegisterWorkerServiceServer(e.server, e.relay)
	wire.RegisterAnnounceServiceServer(e.server, &announceService{Entry: e})
	wire.RegisterEntryServiceServer(e.server, &entryService{Entry: e})
	wire.RegisterJobServiceServer(e.server, &jobService{Entry: e})
	wire.RegisterOperatorServiceServer(e.server, &operatorService{Entry: e})
	wire.RegisterWorkServiceServer(e.server, &workService{desk: e.desk()})
}

// entriesChanged divides the slots anew, and again once the change has
// settled.
func (e *Entry) entriesChanged(ids []string) {
	next := e.divider.Load().WithEntries(e.settings.Common.InstanceId, ids, e.clock.Now(), settleTime)
	e.divider.Store(&next)
	e.calls.Resize()
}

func (e *Entry) serve(ctx context.Context, listener net.Listener, stopPlatform func()) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, background := errgroup.WithContext(background)
	group.Go(func() error { e.uplink.Run(background); return nil })
	group.Go(func() error { e.relay.Run(background); return nil })
	group.Go(func() error { e.sharer.run(background); return nil })
	group.Go(func() error { e.sweep(background); return nil })
	group.Go(func() error { e.watchSettings(background); return nil })
	served := make(chan error, 1)
	go func() { served <- e.server.Serve(listener) }()
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

// drain stops without cutting anything off: the balancer is told first and
// callers are still taken while it notices; then the port closes and what is
// in flight is finished.
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
		e.logger.Warn("calls in flight outlasted the drain timeout")
		e.server.Stop()
	}
}

// setReady tells the balancer, by HTTP and by gRPC.
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

// sweep does what time alone makes due.
func (e *Entry) sweep(ctx context.Context) {
	ticker := e.clock.NewTicker(sweepInterval)
	defer ticker.Stop()
	settled, hadSlots := true, false
	lastSecond := e.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		now := e.clock.Now()
		e.roster.Sweep(now)
		e.calls.Shed()
		if s := e.divider.Load().Settled(now); s != settled {
			settled = s
			hadSlots = hadSlots || (s && len(e.divider.Load().Entries()) > 0)
			e.calls.Resize()
		}
		// Until its first slots are settled an entry could only refuse.
		ready := hadSlots && e.uplink.Configuration() != nil && e.uplink.HasQuorum() && !e.draining.Load()
		e.setReady(ready)
		if now.Sub(lastSecond) >= housekeepingInterval {
			lastSecond = now
			e.uplink.CountQuorumLoss()
			e.pool.Retain(e.uplink.Addresses())
		}
	}
}
