// This file defines Uplink, an entry's view of the control replicas.

// Package uplink connects an entry with the control replicas. It tracks the leader, the
// other entries, the configuration and the drained failure domains.
//
// The entry exchanges hellos with every voter, so that the loss of the leader doesn't delay
// updates.
package uplink

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sycamoredeck.example/internal/base/link"
	"sycamoredeck.example/internal/schema/wire"
)

const (
	// refreshInterval is how often the view is recomputed to drop expired statuses.
	refreshInterval = 100 * time.Millisecond
	// helloInterval is the pause between hellos, which are long polls. helloBackoff is the
	// pause after a failed one.
	helloInterval = 20 * time.Millisecond
	helloBackoff  = 200 * time.Millisecond
	helloTimeout  = 1500 * time.Millisecond
	// statusTTL is how long the status of a replica is valid.
	statusTTL = 2 * time.Second
	// maxFailedHellos is the number of consecutive failed hellos after which a replica is
	// unresponsive. A single failure may be a connection reset.
	maxFailedHellos = 2
)

var (
	helloFailed   = metrics.NewCounter("sycamoredeck_hello_failed_total")
	configFetched = metrics.NewCounter("sycamoredeck_configurations_fetched_total")
	withoutQuorum = metrics.NewCounter("sycamoredeck_entry_without_quorum_seconds_total")
)

type (
	// Options configure an Uplink.
	Options struct {
		Clock     clockwork.Clock
		Logger    *slog.Logger
		Pool      *link.Pool
		Addresses []string
		Self      *wire.EntryStatus
		// OnConfiguration is called with each newer configuration.
		OnConfiguration func(*wire.ConfigurationVersion)
		// OnEntriesChanged is called with the IDs of the entries when they change.
		OnEntriesChanged func(ids []string)
		// OnDrainedChanged is called with the drained failure domains when they change. It
		// may be nil.
		OnDrainedChanged func(domains []string)
	}

	// replicaStatus is the last response of a replica.
	replicaStatus struct {
		response *wire.HelloResponse
		// entries are the entries that the replica knows, by ID. The map is replaced when
		// they change.
		entries      map[string]*wire.EntryStatus
		receivedAt   time.Time
		failedHellos int // since receivedAt
		// probeFailedAt is when it didn't answer the last probe since receivedAt; zero if it
		// did.
		probeFailedAt time.Time
	}

	// Uplink tracks the control replicas. It is safe for concurrent use once Run is started.
	Uplink struct {
		options Options
		config  atomic.Pointer[wire.ConfigurationVersion]

		mu                  sync.Mutex
		configuredAddresses []string
		replicas            map[string]replicaStatus
		// followerFailures is when each replica last failed to answer an inspection.
		followerFailures map[string]time.Time
		helloLoops       map[string]context.CancelFunc
		entries          []*wire.EntryStatus
		entryIDs         []string
		// mergedDigests are the digests of the lists that entries was merged from, by
		// replica.
		mergedDigests map[string]uint64
		drainRevision uint64
		leaderAddress string
		term          uint64
		// leaderChanged is closed when another leader is known.
		leaderChanged chan struct{}
		outage        outageRecord
		// probing are the addresses of the voters that are being probed.
		probing map[string]bool
		// fetchMu prevents several loops from fetching the same configuration.
		fetchMu sync.Mutex
		// refreshMu orders the calls of OnEntriesChanged and OnDrainedChanged.
		refreshMu sync.Mutex
	}
)

// New returns an uplink. Run connects it.
func New(options Options) *Uplink {
	return &Uplink{
		options: options, configuredAddresses: options.Addresses, replicas: map[string]replicaStatus{}, followerFailures: map[string]time.Time{}, helloLoops: map[string]context.CancelFunc{},
		leaderChanged: make(chan struct{}), probing: map[string]bool{},
	}
}

// Run exchanges hellos with the replicas until the context ends.
func (u *Uplink) Run(ctx context.Context) {
	u.syncLoops(ctx)
	ticker := u.options.Clock.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			u.syncLoops(ctx)
			u.refresh()
		}
	}
}

// SetAddresses replaces the configured addresses of control replicas.
func (u *Uplink) SetAddresses(addresses []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.configuredAddresses = addresses
}

// syncLoops runs one hello loop for each replica to watch.
func (u *Uplink) syncLoops(ctx context.Context) {
	hasQuorum := u.HasQuorum()
	u.mu.Lock()
	defer u.mu.Unlock()
	needed := u.watchedAddresses(hasQuorum)
	for a := range needed {
		if u.helloLoops[a] == nil {
			loopCtx, cancel := context.WithCancel(ctx)
			u.helloLoops[a] = cancel
			go u.helloLoop(loopCtx, a)
		}
	}
	for a, cancel := range u.helloLoops {
		if !needed[a] {
			cancel()
			delete(u.helloLoops, a)
			delete(u.replicas, a)
		}
	}
}

// watchedAddresses returns the addresses of the replicas to exchange hellos with: those of
// the voters. Other members know nothing that the voters don't, and hellos to them would
// double the load. While no quorum responds, all known addresses are tried, since the
// members may have changed meanwhile. The caller holds mu.
func (u *Uplink) watchedAddresses(hasQuorum bool) map[string]bool {
	watched := map[string]bool{}
	for _, m := range u.members() {
		if m.Voter || !hasQuorum {
			watched[m.Address] = true
		}
	}
	if !hasQuorum {
		for _, a := range u.configuredAddresses {
			watched[a] = true
		}
	}
	return watched
}

func (u *Uplink) helloLoop(ctx context.Context, address string) {
	for ctx.Err() == nil {
		pause := helloInterval
		if !u.hello(ctx, address) {
			helloFailed.Inc()
			pause = helloBackoff
		}
		select {
		case <-ctx.Done():
		case <-u.options.Clock.After(pause):
		}
	}
}

// hello exchanges one hello with a replica and reports whether it responded.
func (u *Uplink) hello(ctx context.Context, address string) bool {
	conn, err := u.options.Pool.Conn(address)
	if err != nil {
		return false
	}
	self := &wire.EntryStatus{
		EntryId: u.options.Self.EntryId, Address: u.options.Self.Address,
		FailureDomain: u.options.Self.FailureDomain, ConfigurationVersion: u.configurationVersion(),
	}
	known := u.lastResponse(address)
	callCtx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	response, err := wire.NewControlServiceClient(conn).Hello(callCtx, &wire.HelloRequest{
		Entry: self, KnownLeader: known.GetLeaderAddress(), KnownTerm: known.GetTerm(),
		KnownEntries: known.GetEntriesDigest(), AcceptsChanges: true, KnownDrains: u.knownDrainRevision(),
	})
	if err != nil {
		u.recordFailure(address)
		return false
	}
	u.recordHello(address, response)
	u.applyDrained(response)
	u.fetchConfiguration(ctx, conn, response)
	return true
}

func (u *Uplink) lastResponse(address string) *wire.HelloResponse {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.replicas[address].response
}

func (u *Uplink) recordHello(address string, r *wire.HelloResponse) {
	u.mu.Lock()
	entries := u.replicas[address].updatedEntries(r)
	u.replicas[address] = replicaStatus{response: r, entries: entries, receivedAt: u.options.Clock.Now()}
	u.mu.Unlock()
	u.refresh()
}

// updatedEntries returns the entries that a replica knows as of its next response.
func (rs replicaStatus) updatedEntries(r *wire.HelloResponse) map[string]*wire.EntryStatus {
	if r.EntriesDigest != 0 && r.EntriesDigest == rs.response.GetEntriesDigest() {
		return rs.entries
	}
	updated := make(map[string]*wire.EntryStatus, len(rs.entries)+len(r.Entries))
	if r.ChangesOnly {
		maps.Copy(updated, rs.entries)
	}
	for _, e := range r.Entries {
		updated[e.EntryId] = e
	}
	for _, id := range r.RemovedEntries {
		delete(updated, id)
	}
	return updated
}

func (u *Uplink) knownDrainRevision() uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.drainRevision
}

// applyDrained updates the drained failure domains, unless a later revision is known: the
// replica may lag behind another one.
func (u *Uplink) applyDrained(r *wire.HelloResponse) {
	u.refreshMu.Lock()
	defer u.refreshMu.Unlock()
	u.mu.Lock()
	newer := r.DrainRevision > u.drainRevision
	if newer {
		u.drainRevision = r.DrainRevision
	}
	u.mu.Unlock()
	if !newer {
		return
	}
	u.options.Logger.Info("drained failure domains changed", "domains", r.DrainedDomains, "revision", r.DrainRevision)
	if u.options.OnDrainedChanged != nil {
		u.options.OnDrainedChanged(r.DrainedDomains)
	}
}

func (u *Uplink) recordFailure(address string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if rs, ok := u.replicas[address]; ok {
		rs.failedHellos++
		u.replicas[address] = rs
	}
}

// refresh derives the leader, by highest term, and the entries from the valid statuses.
func (u *Uplink) refresh() {
	u.refreshMu.Lock()
	defer u.refreshMu.Unlock()
	now := u.options.Clock.Now()
	u.mu.Lock()
	var leader string
	var term uint64
	digests := map[string]uint64{}
	for a, rs := range u.replicas {
		if now.Sub(rs.receivedAt) > statusTTL {
			continue
		}
		digests[a] = rs.response.EntriesDigest
		if rs.response.LeaderAddress != "" && rs.response.Term >= term {
			leader, term = rs.response.LeaderAddress, rs.response.Term
		}
	}
	changed := false
	if len(digests) > 0 && !maps.Equal(digests, u.mergedDigests) { // otherwise keep the last known entries
		u.mergedDigests = digests
		changed = u.mergeEntries()
	}
	if leader != "" && leader != u.leaderAddress {
		u.options.Logger.Info("leader changed", "leader", leader, "term", term)
		close(u.leaderChanged)
		u.leaderChanged = make(chan struct{})
	}
	u.leaderAddress, u.term = leader, term
	u.trackOutage(now)
	ids := u.entryIDs
	u.mu.Unlock()
	if changed {
		u.options.OnEntriesChanged(ids)
	}
}

// mergeEntries merges the entries that the replicas in mergedDigests know, and reports
// whether their IDs have changed.
func (u *Uplink) mergeEntries() bool {
	entries := map[string]*wire.EntryStatus{u.options.Self.EntryId: u.options.Self}
	for a := range u.mergedDigests {
		maps.Copy(entries, u.replicas[a].entries)
	}
	ids := make([]string, 0, len(entries))
	list := make([]*wire.EntryStatus, 0, len(entries))
	for id, e := range entries {
		ids = append(ids, id)
		list = append(list, e)
	}
	sort.Strings(ids)
	same := slices.Equal(ids, u.entryIDs)
	u.entryIDs, u.entries = ids, list
	return !same
}

// fetchConfiguration fetches a newer configuration from the replica. The first one must
// be confirmed by a quorum: this entry before a restart, or the entry that it replaces, may
// have used a newer one than a lagging replica has.
func (u *Uplink) fetchConfiguration(ctx context.Context, conn *grpc.ClientConn, r *wire.HelloResponse) {
	first := u.config.Load() == nil
	if !first && r.ConfigurationVersion <= u.configurationVersion() {
		return
	}
	if first {
		leader, err := u.Leader()
		if err != nil {
			return
		}
		conn = leader
	}
	if !u.fetchMu.TryLock() {
		return
	}
	defer u.fetchMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	response, err := wire.NewControlServiceClient(conn).FetchConfiguration(ctx, &wire.FetchConfigurationRequest{QuorumConfirmed: first})
	if err != nil || response.Current == nil {
		return
	}
	u.applyConfiguration(response.Current)
}

// applyConfiguration applies a configuration if it is newer than the current one.
func (u *Uplink) applyConfiguration(v *wire.ConfigurationVersion) {
	current := u.config.Load()
	if current != nil && v.Version <= current.Version {
		return
	}
	configFetched.Inc()
	u.options.OnConfiguration(v)
	u.config.Store(v)
	u.options.Logger.Info("configuration in force", "version", v.Version)
}

func (u *Uplink) configurationVersion() uint64 {
	return u.config.Load().GetVersion()
}

// Configuration returns the current configuration, or nil before the first one.
func (u *Uplink) Configuration() *wire.ConfigurationVersion {
	return u.config.Load()
}

// Entries returns the known entries, including this one.
func (u *Uplink) Entries() []*wire.EntryStatus {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.entries
}

// Addresses returns the addresses of all processes that this entry connects to.
func (u *Uplink) Addresses() map[string]bool {
	hasQuorum := u.HasQuorum()
	u.mu.Lock()
	defer u.mu.Unlock()
	addresses := u.watchedAddresses(hasQuorum)
	if u.leaderAddress != "" {
		addresses[u.leaderAddress] = true
	}
	if learner := u.preferred(u.learners()); learner != "" {
		addresses[learner] = true
	}
	for _, e := range u.entries {
		addresses[e.Address] = true
	}
	return addresses
}

// members returns the members of the cluster as of the newest response. The caller holds mu.
func (u *Uplink) members() []*wire.ControlMember {
	// A replica that hasn't joined the cluster responds without members.
	var newest *wire.HelloResponse
	for a, rs := range u.replicas {
		r := rs.response
		if len(r.Members) == 0 {
			continue
		}
		if newest == nil || r.Term > newest.Term || (r.Term == newest.Term && r.LeaderAddress == a) {
			newest = r
		}
	}
	return newest.GetMembers()
}

// HasQuorum reports whether a majority of the voters responded within statusTTL.
func (u *Uplink) HasQuorum() bool {
	responded, voters := u.countVoters(func(replicaStatus) bool { return true })
	return voters > 0 && responded > voters/2
}

// countVoters returns the number of voters with a valid status that satisfies a condition,
// and the number of all voters. Learners don't take part in elections.
func (u *Uplink) countVoters(condition func(replicaStatus) bool) (counted, voters int) {
	now := u.options.Clock.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, m := range u.members() {
		if !m.Voter {
			continue
		}
		voters++
		if rs, ok := u.replicas[m.Address]; ok && now.Sub(rs.receivedAt) <= statusTTL && condition(rs) {
			counted++
		}
	}
	return counted, voters
}

// CountQuorumLoss increments the metric of seconds without a quorum. It is called every
// second.
func (u *Uplink) CountQuorumLoss() {
	if !u.HasQuorum() {
		withoutQuorum.Inc()
	}
}

// LeaderAddress returns the leader's address, or "" if none is known.
func (u *Uplink) LeaderAddress() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.leaderAddress
}

// Leader returns a connection to the leader.
func (u *Uplink) Leader() (*grpc.ClientConn, error) {
	address := u.LeaderAddress()
	if address == "" {
		return nil, status.Error(codes.Unavailable, NotExecuted+"no control leader is known")
	}
	return u.options.Pool.Conn(address)
}

// watchLeader returns the leader's address, or "" if none is known, and a channel that is
// closed when another leader is known.
func (u *Uplink) watchLeader() (string, <-chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.leaderAddress, u.leaderChanged
}
