// This file defines Control, its startup and its shutdown.

// Package ctrl implements the control process: a replica of the system's durable state
// and, while it is the leader, the scheduler of batch and standing work.
package ctrl

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc"

	"sycamoredeck.example/internal/base/admin"
	"sycamoredeck.example/internal/base/boot"
	"sycamoredeck.example/internal/base/files"
	"sycamoredeck.example/internal/base/intake"
	"sycamoredeck.example/internal/base/link"
	"sycamoredeck.example/internal/base/memory"
	"sycamoredeck.example/internal/base/setup"
	"sycamoredeck.example/internal/base/spans"
	"sycamoredeck.example/internal/sched/drive"
	"sycamoredeck.example/internal/sched/plan"
	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/node"
	"sycamoredeck.example/internal/store/peers"
	"sycamoredeck.example/internal/store/quorum"
	"sycamoredeck.example/internal/store/state"
	"sycamoredeck.example/internal/store/walog"
)

const (
	// joinRequestInterval is how often a replica that isn't a member asks to join.
	joinRequestInterval = time.Second
	// leadershipTransferTimeout bounds the wait of a stopping leader for a successor.
	leadershipTransferTimeout = 3 * time.Second
	leadershipTransferPoll    = 20 * time.Millisecond
	// gcPercent lets the heap grow to three times the live data between collections, which
	// saves CPU time.
	gcPercent = 200
)

type (
	// view is the event loop's state as visible to other goroutines. It is immutable, and
	// replaced after an iteration that changes it.
	view struct {
		isLeader bool
		leader   string // advertised address, or empty
		term     uint64
		version  uint64
		members  []*wire.ControlMember
		// drained lists the failure domains that get no new work, as of drainRevision.
		drained       []string
		drainRevision uint64
		// faultTolerant is set if there are enough voters to tolerate the configured losses.
		faultTolerant bool
		// changed is closed when a newer view replaces this one.
		changed chan struct{}
	}

	// Control is a running control process.
	Control struct {
		settings     *wire.ControlSettings
		logger       *slog.Logger
		clock        clockwork.Clock
		self         *wire.ControlMember
		pool         link.Pool
		bootstrapper *peers.Bootstrapper
		transport    *peers.Transport
		admin        admin.Server
		log          *walog.Log
		node         *node.Node
		machine      *state.Machine
		planner      *plan.Planner
		platform     Platform
		limits       intake.Limits
		engine       *drive.Engine
		orders       *orderSender
		listener     *intake.CallListener
		server       *grpc.Server
		view         atomic.Pointer[view]
		entries      entryTable
		readIndex    readIndexer
		watchers     watchTable
		failed       chan error
		// running is set once node may be used by other goroutines.
		running atomic.Bool

		// Used only on the event loop: the membership of the current view, the time of
		// the last reconciliation, the last term in which the engine was allowed to
		// start, and whether a timer for the next tick is running.
		publishedMembers       *wire.Membership
		membershipReconciledAt time.Time
		engineTerm             uint64
		tickScheduled          bool

		closing    chan struct{}
		background sync.WaitGroup
	}
)

// Run serves until the context ends, then transfers leadership and stops. It returns an
// error if the startup or the disk fails.
func Run(ctx context.Context, settings *wire.ControlSettings, logger *slog.Logger, platform Platform, reloads <-chan *wire.ControlSettings) error {
	c := &Control{
		settings: settings, logger: logger, platform: platform, clock: clockwork.NewRealClock(),
		failed: make(chan error, 1), closing: make(chan struct{}),
	}
	c.readIndex.fetch = c.fetchReadIndex
	c.limits = newLimits(settings, logger)
	flush, err := spans.StartExport(ctx, "control", settings.Common)
	if err != nil {
		return err
	}
	defer flush(context.WithoutCancel(ctx))
	runCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	if err := c.start(runCtx, reloads); err != nil {
		return err
	}
	logger.Info("started", "replica", c.self.ReplicaId, "address", c.self.Address)
	stopPlatform, err := c.servePlatform()
	if err != nil {
		return err
	}
	defer stopPlatform()
	select {
	case <-ctx.Done():
		c.stop()
		return nil
	case err := <-c.failed:
		c.server.Stop()
		return trace.Wrap(err)
	}
}

// newLimits applies the memory limit and returns the limits for callers.
func newLimits(s *wire.ControlSettings, logger *slog.Logger) intake.Limits {
	limit, budget := memory.NewLimit(s.MemoryLimitMb), files.NewBudget(s.MaxOpenFiles)
	limit.Apply(gcPercent)
	limits := intake.NewLimits(s.Web, limit, budget.Callers, logger)
	logger.Info("descriptors shared out", "limit", budget.Limit, "agents", budget.Agents, "callers", budget.Callers)
	logger.Info("limits for callers", "memory_mb", int64(limit)>>20, "request_bytes", limits.Budget.Limit, "connections", limits.Connections)
	return limits
}

func (c *Control) start(ctx context.Context, reloads <-chan *wire.ControlSettings) error {
	log, durable, err := walog.Open(c.settings.DataFolder, walog.Options{Limit: int64(c.settings.DataLimitMb) << 20, Logger: c.logger})
	if err != nil {
		return err
	}
	c.log = log
	context.AfterFunc(ctx, log.AbortRetries)
	if durable.TornBytes > 0 {
		c.logger.Warn("truncated incomplete log write", "bytes", durable.TornBytes)
	}
	if err := c.loadIdentity(durable); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", c.settings.Common.ListenAddress)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	c.view.Store(&view{changed: make(chan struct{})})
	go c.watchSettings(ctx, reloads)
	limit := memory.NewLimit(c.settings.MemoryLimitMb)
	c.listener = intake.NewCallListener(listener, intake.NewCallLimits(c.settings.Common, limit, files.NewBudget(c.settings.MaxOpenFiles).Peers, notExecuted+"too many calls"))
	c.register()
	go c.server.Serve(c.listener)
	if err := c.admin.Start(c.settings.Common.AdminAddress, c.limits); err != nil {
		return err
	}
	if err := c.bootstrap(ctx, durable); err != nil {
		return err
	}
	return c.startNode(durable)
}

// loadIdentity loads this replica's ID, or generates one for a new data folder, and sets up
// the bootstrapper.
func (c *Control) loadIdentity(durable *walog.DurableState) error {
	if durable.Vote.GetReplicaId() == 0 {
		id := rand.Uint64() | 1
		durable.Vote = &wire.Vote{Term: durable.Vote.GetTerm(), VotedFor: durable.Vote.GetVotedFor(), ReplicaId: id}
		if err := c.log.SaveVote(durable.Vote); err != nil {
			return err
		}
	}
	common := c.settings.Common
	c.pool.Options = link.Options{Traced: common.TraceEndpoint != "", SourceIP: common.SourceAddress}
	c.self = &wire.ControlMember{Name: common.InstanceId, Address: setup.AdvertisedAddress(common), ReplicaId: durable.Vote.ReplicaId}
	c.bootstrapper = &peers.Bootstrapper{Self: c.self, Pool: &c.pool, JoinOnly: c.settings.FirstStart == "false"}
	for _, t := range c.settings.FoundingMembers {
		name, address, _ := strings.Cut(t, "=")
		c.bootstrapper.InitialMembers = append(c.bootstrapper.InitialMembers, &wire.ControlMember{Name: name, Address: address})
	}
	c.bootstrapper.InitialMembers = append(c.bootstrapper.InitialMembers, seedMembers(c.settings)...)
	return nil
}

// seedMembers returns the control replicas that the settings list by address only.
func seedMembers(s *wire.ControlSettings) []*wire.ControlMember {
	var members []*wire.ControlMember
	for _, a := range setup.SeedAddresses(s.Seeds) {
		members = append(members, &wire.ControlMember{Name: a, Address: a})
	}
	return members
}

// watchSettings applies the seeds of reloaded settings, for a replica that hasn't joined
// yet. Other changes take effect at the next start.
func (c *Control) watchSettings(ctx context.Context, reloads <-chan *wire.ControlSettings) {
	for {
		select {
		case <-ctx.Done():
			return
		case settings := <-reloads:
			c.bootstrapper.SetSeeds(seedMembers(settings))
			c.logger.Info("settings applied", "seeds", setup.SeedAddresses(settings.Seeds))
		}
	}
}

// bootstrap creates or joins a cluster if the data folder has no state.
func (c *Control) bootstrap(ctx context.Context, durable *walog.DurableState) error {
	if durable.Snapshot != nil {
		return nil
	}
	membership, err := c.bootstrapper.Bootstrap(ctx)
	if err != nil {
		return trace.Wrap(err, "bootstrapping the cluster")
	}
	durable.Snapshot = &wire.Snapshot{Membership: membership}
	c.logger.Info("joined cluster", "cluster", membership.ClusterId, "members", len(membership.Members))
	return c.log.WriteSnapshot(durable.Snapshot)
}

// startNode starts the replica, the planner and the scheduling engine.
func (c *Control) startNode(durable *walog.DurableState) error {
	c.machine = state.New(state.Options{
		Retention: c.settings.RecordRetention.AsDuration(), Unversioned: true,
		OnJobChange: func(j *wire.Job) {
			c.planner.MarkChanged()
			c.watchers.notify(j)
		},
	})
	c.transport = &peers.Transport{Pool: &c.pool}
	n, err := node.New(node.Options{
		ID:                c.self.ReplicaId,
		HeartbeatInterval: c.settings.HeartbeatInterval.AsDuration(),
		ElectionTimeout:   c.settings.ElectionTimeout.AsDuration(),
		SnapshotThreshold: uint64(c.settings.SnapshotRecords), SnapshotBytes: uint64(c.settings.SnapshotLogMb) << 20,
		RestartElection: c.restartElectionEnabled(),
		Clock:           c.clock, Logger: c.logger,
		Send:           c.transport.Send,
		AfterIteration: c.tick,
		Lookup:         c.bootstrapper.Lookup,
		OnDiskFailure:  func(err error) { c.failed <- err },
	}, c.log, durable, c.machine)
	if err != nil {
		return err
	}
	c.node = n
	c.planner = plan.New(plan.Options{
		Machine: c.machine, Lease: c.settings.WorkerLease.AsDuration(),
		Overlap: c.settings.ElectionTimeout.AsDuration(),
		Propose: n.Propose, IsLeader: n.IsLeader, ConfirmedAt: n.LeadershipConfirmedAt,
		Term:   func() uint64 { return n.Core().Status().Term },
		Logger: c.logger,
	})
	if err := c.startEngine(); err != nil {
		return err
	}
	c.publishView()
	c.running.Store(true)
	go n.Run()
	c.background.Go(c.requestJoinLoop)
	return nil
}

// tick runs after each iteration of the replica's event loop.
func (c *Control) tick(now time.Time) {
	c.planner.Tick(now)
	c.engine.Tick(boot.Now())
	c.scheduleTick()
	c.reconcileMembership(now)
	c.publishView()
}

// publishView replaces the view if anything in it has changed.
func (c *Control) publishView() {
	status := c.node.Core().Status()
	members := c.node.Core().Members()
	_, isLeader := c.node.IsLeader()
	old := c.view.Load()
	version := c.machine.Configuration().Version
	leader := addressOf(members, status.Leader)
	faultTolerant := c.hasEnoughVoters(members)
	drained, drainRevision := c.machine.Graph().DrainedDomains()
	unchanged := old.drainRevision == drainRevision && old.isLeader == isLeader && old.term == status.Term && old.version == version && old.leader == leader && old.faultTolerant == faultTolerant
	if unchanged && c.publishedMembers == members {
		return
	}
	c.publishedMembers = members
	c.bootstrapper.SetMembership(members)
	c.admin.SetReady(leader != "")
	c.view.Store(&view{isLeader: isLeader, leader: leader, term: status.Term, version: version, members: members.GetMembers(), drained: drained, drainRevision: drainRevision, faultTolerant: faultTolerant, changed: make(chan struct{})})
	close(old.changed)
}

func addressOf(m *wire.Membership, id uint64) string {
	for _, mb := range m.GetMembers() {
		if mb.ReplicaId == id {
			return mb.Address
		}
	}
	return ""
}

// requestJoinLoop asks to join the cluster while this replica isn't a member. A replica
// that was removed while it was down doesn't know; it asks once it has seen no leader for
// leaderTimeout.
func (c *Control) requestJoinLoop() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	leaderSeenAt := c.clock.Now()
	for {
		select {
		case <-c.closing:
			return
		case <-c.clock.After(joinRequestInterval):
		}
		if c.view.Load().leader != "" {
			leaderSeenAt = c.clock.Now()
		}
		member := false
		for _, m := range c.view.Load().members {
			member = member || m.ReplicaId == c.self.ReplicaId
		}
		if !member || c.clock.Now().Sub(leaderSeenAt) > leaderTimeout {
			c.bootstrapper.RequestJoin(ctx)
		}
	}
}

// stop transfers leadership, waits for calls in flight and closes all components.
func (c *Control) stop() {
	c.admin.SetReady(false)
	c.transferLeadership()
	close(c.closing)
	stopped := make(chan struct{})
	go func() {
		c.server.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-c.clock.After(c.settings.Common.DrainTimeout.AsDuration()):
		c.server.Stop()
	}
	<-stopped
	c.background.Wait()
	c.node.Stop()
	c.transport.Close()
	c.pool.Close()
	c.admin.Close()
	c.log.Close()
	c.logger.Info("stopped")
}

// transferLeadership transfers leadership, and waits until another replica leads or the
// timeout passes.
func (c *Control) transferLeadership() {
	ctx, cancel := context.WithTimeout(context.Background(), leadershipTransferTimeout)
	defer cancel()
	for ctx.Err() == nil {
		isLeader := false
		err := c.node.Do(ctx, func() {
			if c.node.Core().Status().Role == quorum.Leader {
				isLeader = c.node.Core().TransferLeadership()
			}
		})
		if err != nil || !isLeader {
			return
		}
		c.clock.Sleep(leadershipTransferPoll)
	}
}
