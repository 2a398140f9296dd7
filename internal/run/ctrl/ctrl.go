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
	// announceInterval is how often a replica that isn't a member asks to be
	// let in.
	announceInterval = time.Second
	// handoverWait bounds how long a stopping leader waits for a successor.
	handoverWait = 3 * time.Second
	handoverPoll = 20 * time.Millisecond
)

type (
	// view is what other goroutines may know of the loop, renewed each turn.
	view struct {
		leads   bool
		leader  string // advertised address, or empty
		term    uint64
		version uint64
		members []*wire.ControlMember
		// drained are the failure domains that get no new work, as of drains.
		drained []string
		drains  uint64
		// safe tells that enough replicas vote to survive the losses that the
		// settings name.
		safe bool
		// changed is closed when a newer view takes its place.
		changed chan struct{}
	}

	// Control is one running control process.
	Control struct {
		settings *wire.ControlSettings
		logger   *slog.Logger
		clock    clockwork.Clock
		self     *wire.ControlMember
		pool     link.Pool
		founder  *peers.Bootstrapper
		carrier  *peers.Transport
		admin    admin.Server
		log      *walog.Log
		node     *node.Node
		machine  *state.Machine
		planner  *plan.Planner
		platform Platform
		engine   *drive.Engine
		server   *grpc.Server
		view     atomic.Pointer[view]
		entries  entryTable
		watchers watchTable
		failed   chan error
		// running is set once node may be used by other goroutines.
		running atomic.Bool

		// seenMembers is the membership the view was made from.
		seenMembers *wire.Membership
		// membershipAt is when the membership was last looked after.
		membershipAt time.Time
		// drivenTerm is the last term in which driving agents could begin; of
		// the loop.
		drivenTerm uint64
		// waking is set while a turn is on order; of the loop.
		waking     bool
		closing    chan struct{}
		background sync.WaitGroup
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
	if err := c.identify(durable); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", c.settings.Common.ListenAddress)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	c.view.Store(&view{changed: make(chan struct{})})
	go c.followSettings(ctx, reloads)
	c.register()
	go c.server.Serve(listener)
	if err := c.admin.Start(c.settings.Common.AdminAddress); err != nil {
		return err
	}
	if err := c.found(ctx, durable); err != nil {
		return err
	}
	return c.startNode(durable)
}

// identify reads this replica's identity, or draws one for a new folder.
func (c *Control) identify(durable *walog.DurableState) error {
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
	c.founder = &peers.Bootstrapper{Self: c.self, Pool: &c.pool, JoinOnly: c.settings.FirstStart == "false"}
	for _, text := range c.settings.FoundingMembers {
		name, address, _ := strings.Cut(text, "=")
		c.founder.InitialMembers = append(c.founder.InitialMembers, &wire.ControlMember{Name: name, Address: address})
	}
	c.founder.InitialMembers = append(c.founder.InitialMembers, seedMembers(c.settings)...)
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

// followSettings takes over the seeds that settings read anew name, for a
// replica that still waits to be let in. All else holds from the next start on.
func (c *Control) followSettings(ctx context.Context, reloads <-chan *wire.ControlSettings) {
	for {
		select {
		case <-ctx.Done():
			return
		case fresh := <-reloads:
			c.founder.SetSeeds(seedMembers(fresh))
			c.logger.Info("settings taken", "seeds", setup.SeedAddresses(fresh.Seeds))
		}
	}
}

func (c *Control) found(ctx context.Context, durable *walog.DurableState) error {
	if durable.Snapshot != nil {
		return nil
	}
	membership, err := c.founder.Bootstrap(ctx)
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
	c.carrier = &peers.Transport{Pool: &c.pool}
	n, err := node.New(node.Options{
		ID:                c.self.ReplicaId,
		HeartbeatInterval: c.settings.HeartbeatInterval.AsDuration(),
		ElectionTimeout:   c.settings.ElectionTimeout.AsDuration(),
		SnapshotThreshold: uint64(c.settings.SnapshotRecords),
		Clock:             c.clock, Logger: c.logger,
		Send:           c.carrier.Send,
		AfterIteration: c.turn,
		Lookup:         c.founder.Lookup,
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
	c.publish()
	c.running.Store(true)
	go n.Run()
	c.background.Go(c.announceLoop)
	return nil
}

// turn runs on the loop after each turn of the replica.
func (c *Control) turn(now time.Time) {
	c.planner.Tick(now)
	c.engine.Tick(boot.Now())
	c.wakeLater()
	c.tendMembership(now)
	c.publish()
}

// publish renews the view when anything in it has changed.
func (c *Control) publish() {
	status := c.node.Core().Status()
	members := c.node.Core().Members()
	_, leads := c.node.IsLeader()
	old := c.view.Load()
	version := c.machine.Configuration().Version
	leader := addressOf(members, status.Leader)
	safe := c.enoughVoters(members)
	drained, drains := c.machine.Graph().DrainedDomains()
	unchanged := old.drains == drains && old.leads == leads && old.term == status.Term && old.version == version && old.leader == leader && old.safe == safe
	if unchanged && c.seenMembers == members {
		return
	}
	c.seenMembers = members
	c.founder.SetMembership(members)
	c.admin.SetReady(leader != "")
	c.view.Store(&view{leads: leads, leader: leader, term: status.Term, version: version, members: members.GetMembers(), drained: drained, drains: drains, safe: safe, changed: make(chan struct{})})
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

// announceLoop makes a replica that has no place in the membership visible to
// the leader and to operators until it has one. One that was put out while it
// was away doesn't know; it finds that it hears of no leader.
func (c *Control) announceLoop() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	led := c.clock.Now()
	for {
		select {
		case <-c.closing:
			return
		case <-c.clock.After(announceInterval):
		}
		if c.view.Load().leader != "" {
			led = c.clock.Now()
		}
		member := false
		for _, m := range c.view.Load().members {
			member = member || m.ReplicaId == c.self.ReplicaId
		}
		if !member || c.clock.Now().Sub(led) > lostTouch {
			c.founder.RequestJoin(ctx)
		}
	}
}

// stop hands leadership over, lets calls in flight finish and closes.
func (c *Control) stop() {
	c.admin.SetReady(false)
	c.handOver()
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
	c.carrier.Close()
	c.pool.Close()
	c.admin.Close()
	c.log.Close()
	c.logger.Info("stopped")
}

func (c *Control) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handoverWait)
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
		c.clock.Sleep(handoverPoll)
	}
}
