// This file defines Control, its start and its stop.

// Package ctrl is the control process: one replica of the system's durable
// state and, while it leads, the scheduler of batch and standing work.
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
	"sycamoredeck.example/internal/base/link"
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
	// joinRequestInterval is how often a replica that isn't a member asks to be
	// let in.
	joinRequestInterval = time.Second
	// leadershipTransferTimeout bounds how long a stopping leader waits for a successor.
	leadershipTransferTimeout = 3 * time.Second
	leadershipTransferPoll    = 20 * time.Millisecond
)

type (
	// view is what other goroutines may know of the loop, renewed each turn.
	view struct {
		isLeader bool
		leader   string // advertised address, or empty
		term     uint64
		version  uint64
		members  []*wire.ControlMember
		// drained are the failure domains that get no new work, as of drains.
		drained       []string
		drainRevision uint64
		// faultTolerant tells that enough replicas vote to survive the losses that the
		// settings name.
		faultTolerant bool
		// changed is closed when a newer view takes its place.
		changed chan struct{}
	}

	// Control is one running control process.
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
		engine       *drive.Engine
		server       *grpc.Server
		view         atomic.Pointer[view]
		entries      entryTable
		watchers     watchTable
		failed       chan error
		// running is set once node may be used by other goroutines.
		running atomic.Bool

		// publishedMembers is the membership the view was made from.
		publishedMembers *wire.Membership
		// membershipReconciledAt is when the membership was last looked after.
		membershipReconciledAt time.Time
		// engineTerm is the last term in which driving agents could begin; of
		// the loop.
		engineTerm uint64
		// tickScheduled is set while a turn is on order; of the loop.
		tickScheduled bool
		closing       chan struct{}
		background    sync.WaitGroup
	}
)

// Run serves until the context ends, then hands over and stops. It returns an
// error when the start or the disk fails.
func Run(ctx context.Context, settings *wire.ControlSettings, logger *slog.Logger, platform Platform, reloads <-chan *wire.ControlSettings) error {
	c := &Control{
		settings: settings, logger: logger, platform: platform, clock: clockwork.NewRealClock(),
		failed: make(chan error, 1), closing: make(chan struct{}),
	}
	limitMemory(settings.MemoryLimitMb)
	flush, err := spans.StartExport(ctx, "control", settings.Common)
	if err != nil {
		return err
	}
	defer flush(context.WithoutCancel(ctx))
	running, stopFollowing := context.WithCancel(ctx)
	defer stopFollowing()
	if err := c.start(running, reloads); err != nil {
		return err
	}
	logger.Info("started", "replica", c.self.ReplicaId, "address", c.self.Address)
	stopServing, err := c.servePlatform()
	if err != nil {
		return err
	}
	defer stopServing()
	select {
	case <-ctx.Done():
		c.stop()
		return nil
	case err := <-c.failed:
		c.server.Stop()
		return trace.Wrap(err)
	}
}

func (c *Control) start(ctx context.Context, reloads <-chan *wire.ControlSettings) error {
	log, durable, err := walog.Open(c.settings.DataFolder, walog.Options{Logger: c.logger})
	if err != nil {
		return err
	}
	c.log = log
	context.AfterFunc(ctx, log.AbortRetries)
	if durable.TornBytes > 0 {
		c.logger.Warn("cut off an unfinished write", "bytes", durable.TornBytes)
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
	c.register()
	go c.server.Serve(listener)
	if err := c.admin.Start(c.settings.Common.AdminAddress); err != nil {
		return err
	}
	if err := c.bootstrap(ctx, durable); err != nil {
		return err
	}
	return c.startNode(durable)
}

// loadIdentity reads this replica's identity, or draws one for a new folder.
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
	for _, text := range c.settings.FoundingMembers {
		name, address, _ := strings.Cut(text, "=")
		c.bootstrapper.InitialMembers = append(c.bootstrapper.InitialMembers, &wire.ControlMember{Name: name, Address: address})
	}
	c.bootstrapper.InitialMembers = append(c.bootstrapper.InitialMembers, seedMembers(c.settings)...)
	return nil
}

// seedMembers are the control replicas that the settings name by address only.
func seedMembers(s *wire.ControlSettings) []*wire.ControlMember {
	var members []*wire.ControlMember
	for _, address := range setup.SeedAddresses(s.Seeds) {
		members = append(members, &wire.ControlMember{Name: address, Address: address})
	}
	return members
}

// watchSettings takes over the seeds that settings read anew name, for a
// replica that still waits to be let in. All else holds from the next start on.
func (c *Control) watchSettings(ctx context.Context, reloads <-chan *wire.ControlSettings) {
	for {
		select {
		case <-ctx.Done():
			return
		case fresh := <-reloads:
			c.bootstrapper.SetSeeds(seedMembers(fresh))
			c.logger.Info("settings taken", "seeds", setup.SeedAddresses(fresh.Seeds))
		}
	}
}

func (c *Control) bootstrap(ctx context.Context, durable *walog.DurableState) error {
	if durable.Snapshot != nil {
		return nil
	}
	membership, err := c.bootstrapper.Bootstrap(ctx)
	if err != nil {
		return trace.Wrap(err, "founding the cluster")
	}
	durable.Snapshot = &wire.Snapshot{Membership: membership}
	c.logger.Info("joined cluster", "cluster", membership.ClusterId, "members", len(membership.Members))
	return c.log.WriteSnapshot(durable.Snapshot)
}

func (c *Control) startNode(durable *walog.DurableState) error {
	c.machine = state.New(state.Options{
		Retention: c.settings.RecordRetention.AsDuration(),
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
		SnapshotThreshold: uint64(c.settings.SnapshotRecords),
		Clock:             c.clock, Logger: c.logger,
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

// tick runs on the loop after each turn of the replica.
func (c *Control) tick(now time.Time) {
	c.planner.Tick(now)
	c.engine.Tick(boot.Now())
	c.scheduleTick()
	c.reconcileMembership(now)
	c.publishView()
}

// publishView renews the view when anything in it has changed.
func (c *Control) publishView() {
	status := c.node.Core().Status()
	members := c.node.Core().Members()
	_, leads := c.node.IsLeader()
	old := c.view.Load()
	version := c.machine.Configuration().Version
	leader := addressOf(members, status.Leader)
	safe := c.hasEnoughVoters(members)
	drained, drains := c.machine.Graph().DrainedDomains()
	unchanged := old.drainRevision == drains && old.isLeader == leads && old.term == status.Term && old.version == version && old.leader == leader && old.faultTolerant == safe
	if unchanged && c.publishedMembers == members {
		return
	}
	c.publishedMembers = members
	c.bootstrapper.SetMembership(members)
	c.admin.SetReady(leader != "")
	c.view.Store(&view{isLeader: leads, leader: leader, term: status.Term, version: version, members: members.GetMembers(), drained: drained, drainRevision: drains, faultTolerant: safe, changed: make(chan struct{})})
	close(old.changed)
}

func addressOf(m *wire.Membership, id uint64) string {
	for _, member := range m.GetMembers() {
		if member.ReplicaId == id {
			return member.Address
		}
	}
	return ""
}

// requestJoinLoop makes a replica that has no place in the membership visible to
// the leader and to operators until it has one. One that was put out while it
// was away doesn't know; it finds that it hears of no leader.
func (c *Control) requestJoinLoop() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	led := c.clock.Now()
	for {
		select {
		case <-c.closing:
			return
		case <-c.clock.After(joinRequestInterval):
		}
		if c.view.Load().leader != "" {
			led = c.clock.Now()
		}
		member := false
		for _, m := range c.view.Load().members {
			member = member || m.ReplicaId == c.self.ReplicaId
		}
		if !member || c.clock.Now().Sub(led) > leaderTimeout {
			c.bootstrapper.RequestJoin(ctx)
		}
	}
}

// stop hands leadership over, lets calls in flight finish and closes.
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

func (c *Control) transferLeadership() {
	ctx, cancel := context.WithTimeout(context.Background(), leadershipTransferTimeout)
	defer cancel()
	for ctx.Err() == nil {
		leads := false
		err := c.node.Do(ctx, func() {
			if c.node.Core().Status().Role == quorum.Leader {
				leads = c.node.Core().TransferLeadership()
			}
		})
		if err != nil || !leads {
			return
		}
		c.clock.Sleep(leadershipTransferPoll)
	}
}
