// This file defines Uplink, an entry's view of the control replicas.

// Package uplink keeps an entry in touch with the control replicas: it learns
// who leads, which entries there are and which configuration is in force.
//
// Every replica is asked, not the leader alone, so that the loss of a leader
// costs neither the list of entries nor the news of a configuration.
package uplink

import (
	"context"
	"log/slog"
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
	// refreshInterval is how often what was heard is looked at for its age.
	refreshInterval = 100 * time.Millisecond
	// helloInterval lies between hellos; replicas hold them while there is no
	// news. helloBackoff follows one that failed.
	helloInterval = 20 * time.Millisecond
	helloBackoff  = 200 * time.Millisecond
	helloTimeout  = 1500 * time.Millisecond
	// statusTTL is how long what a replica said counts.
	statusTTL = 2 * time.Second
	// maxFailedHellos hellos in a row tell that a replica doesn't answer, sooner than its
	// silence: one alone may be a connection that was reset.
	maxFailedHellos = 2
)

var (
	helloFailed   = metrics.NewCounter("sycamoredeck_hello_failed_total")
	configFetched = metrics.NewCounter("sycamoredeck_configurations_fetched_total")
	withoutQuorum = metrics.NewCounter("sycamoredeck_entry_without_quorum_seconds_total")
)

type (
	// Options are fixed for the life of an Uplink.
	Options struct {
		Clock     clockwork.Clock
		Logger    *slog.Logger
		Pool      *link.Pool
		Addresses []string
		Self      *wire.EntryStatus
		// OnConfiguration is called with each newer configuration.
		OnConfiguration func(*wire.ConfigurationVersion)
		// OnEntriesChanged is called with the ids of the entries when they change.
		OnEntriesChanged func(ids []string)
		// OnDrainedChanged is called with the failure domains that get no new work when they
		// change.
		OnDrainedChanged func(domains []string)
	}

	replicaStatus struct {
		response     *wire.HelloResponse
		receivedAt   time.Time
		failedHellos int // hellos in a row since then
	}

	// Uplink may be used by many goroutines once Run is started.
	Uplink struct {
		options Options
		config  atomic.Pointer[wire.ConfigurationVersion]

		mu                  sync.Mutex
		configuredAddresses []string // as the settings name them
		replicas            map[string]replicaStatus
		helloLoops          map[string]context.CancelFunc
		entries             []*wire.EntryStatus
		entryIDs            []string
		drainRevision       uint64 // revision of the drained failure domains
		leaderAddress       string
		term                uint64
		// leaderChanged is closed when another leader than this one is known.
		leaderChanged chan struct{}
		// fetchMu guards against several loops fetching one version.
		fetchMu sync.Mutex
		// refreshMu keeps OnEntriesChanged and Drained in the order of the views.
		refreshMu sync.Mutex
	}
)

// New returns an uplink that knows nothing yet.
func New(options Options) *Uplink {
	return &Uplink{
		options: options, configuredAddresses: options.Addresses, replicas: map[string]replicaStatus{}, helloLoops: map[string]context.CancelFunc{},
		leaderChanged: make(chan struct{}),
	}
}

// Run keeps in touch until the context ends.
func (u *Uplink) Run(ctx context.Context) {
	u.syncLoops(ctx, nil)
	ticker := u.options.Clock.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			u.syncLoops(ctx, u.memberAddresses())
			u.refresh()
		}
	}
}

// SetAddresses takes other addresses of control replicas than the options name.
func (u *Uplink) SetAddresses(addresses []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.configuredAddresses = addresses
}

// syncLoops keeps one loop running for each address that is set or a member.
func (u *Uplink) syncLoops(ctx context.Context, addresses []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	wanted := map[string]bool{}
	for _, a := range append(append([]string(nil), u.configuredAddresses...), addresses...) {
		wanted[a] = true
		if u.helloLoops[a] == nil {
			loop, cancel := context.WithCancel(ctx)
			u.helloLoops[a] = cancel
			go u.helloLoop(loop, a)
		}
	}
	for a, cancel := range u.helloLoops {
		if !wanted[a] {
			cancel()
			delete(u.helloLoops, a)
			delete(u.replicas, a)
		}
	}
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
	limited, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	response, err := wire.NewControlServiceClient(conn).Hello(limited, &wire.HelloRequest{
		Entry: self, KnownLeader: known.GetLeaderAddress(), KnownTerm: known.GetTerm(),
		KnownEntries: known.GetEntriesDigest(), KnownDrains: u.knownDrainRevision(),
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
	if known := u.replicas[address].response; r.EntriesDigest != 0 && r.EntriesDigest == known.GetEntriesDigest() {
		r.Entries = known.Entries
	}
	u.replicas[address] = replicaStatus{response: r, receivedAt: u.options.Clock.Now()}
	u.mu.Unlock()
	u.refresh()
}

func (u *Uplink) knownDrainRevision() uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.drainRevision
}

// applyDrained takes over which failure domains are drained, unless later ones are
// known: a replica may lag behind another one that told before.
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
	if h, ok := u.replicas[address]; ok {
		h.failedHellos++
		u.replicas[address] = h
	}
}

// refresh works out from what the replicas said lately who leads, by the
// highest term, and which entries there are.
func (u *Uplink) refresh() {
	u.refreshMu.Lock()
	defer u.refreshMu.Unlock()
	now := u.options.Clock.Now()
	u.mu.Lock()
	var leader string
	var term uint64
	entries := map[string]*wire.EntryStatus{u.options.Self.EntryId: u.options.Self}
	fresh := 0
	for _, h := range u.replicas {
		if now.Sub(h.receivedAt) > statusTTL {
			continue
		}
		fresh++
		if h.response.LeaderAddress != "" && h.response.Term >= term {
			leader, term = h.response.LeaderAddress, h.response.Term
		}
		for _, e := range h.response.Entries {
			entries[e.EntryId] = e
		}
	}
	changed := false
	if fresh > 0 { // else the last view is the best there is
		changed = u.setEntries(entries)
	}
	if leader != "" && leader != u.leaderAddress {
		u.options.Logger.Info("leader changed", "leader", leader, "term", term)
		close(u.leaderChanged)
		u.leaderChanged = make(chan struct{})
	}
	u.leaderAddress, u.term = leader, term
	ids := u.entryIDs
	u.mu.Unlock()
	if changed {
		u.options.OnEntriesChanged(ids)
	}
}

func (u *Uplink) setEntries(entries map[string]*wire.EntryStatus) bool {
	ids := make([]string, 0, len(entries))
	list := make([]*wire.EntryStatus, 0, len(entries))
	for id, e := range entries {
		ids = append(ids, id)
		list = append(list, e)
	}
	sort.Strings(ids)
	same := len(ids) == len(u.entryIDs)
	for i := 0; same && i < len(ids); i++ {
		same = ids[i] == u.entryIDs[i]
	}
	u.entryIDs, u.entries = ids, list
	return !same
}

// fetchConfiguration fetches a configuration newer than the one in force here. The first
// one must come from a leader confirmed by a quorum: this entry, or the one it
// replaces, may have had a later one in force than a lagging replica knows.
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
	got, err := wire.NewControlServiceClient(conn).FetchConfiguration(ctx, &wire.FetchConfigurationRequest{QuorumConfirmed: first})
	if err != nil || got.Current == nil {
		return
	}
	u.applyConfiguration(got.Current)
}

// applyConfiguration puts a configuration in force unless a later one is.
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

// Configuration is what is in force here; nil before the first.
func (u *Uplink) Configuration() *wire.ConfigurationVersion {
	return u.config.Load()
}

// Entries lists the entries seen, this one included.
func (u *Uplink) Entries() []*wire.EntryStatus {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.entries
}

// Addresses are those of all processes that this entry talks to.
func (u *Uplink) Addresses() map[string]bool {
	addresses := map[string]bool{}
	members := u.memberAddresses()
	u.mu.Lock()
	for _, a := range append(members, u.configuredAddresses...) {
		addresses[a] = true
	}
	u.mu.Unlock()
	for _, e := range u.Entries() {
		addresses[e.Address] = true
	}
	return addresses
}

func (u *Uplink) memberAddresses() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	// A replica that waits to be let in answers too, and knows no members.
	var newest *wire.HelloResponse
	for address, h := range u.replicas {
		r := h.response
		if len(r.Members) == 0 {
			continue
		}
		if newest == nil || r.Term > newest.Term || (r.Term == newest.Term && r.LeaderAddress == address) {
			newest = r
		}
	}
	var addresses []string
	for _, m := range newest.GetMembers() {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// HasQuorum tells whether a majority of the voters was heard lately.
func (u *Uplink) HasQuorum() bool {
	heardLately, voters := u.countVoters(func(replicaStatus) bool { return true })
	return voters > 0 && heardLately > voters/2
}

// quorumResponsive tells whether a majority of the voters may answer: all but those
// that have said nothing for too long, or whose hellos failed again. Before any
// voter is known it may.
func (u *Uplink) quorumResponsive() bool {
	answering, voters := u.countVoters(func(h replicaStatus) bool { return h.failedHellos < maxFailedHellos })
	return voters == 0 || answering > voters/2
}

// countVoters counts the voters that were heard lately and that a condition holds
// for, and all.
func (u *Uplink) countVoters(holds func(replicaStatus) bool) (counted, voters int) {
	now := u.options.Clock.Now()
	addresses := u.memberAddresses()
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, a := range addresses {
		if h, ok := u.replicas[a]; ok && now.Sub(h.receivedAt) <= statusTTL && holds(h) {
			counted++
		}
	}
	return counted, len(addresses)
}

// CountQuorumLoss counts the time without a majority, once a second.
func (u *Uplink) CountQuorumLoss() {
	if !u.HasQuorum() {
		withoutQuorum.Inc()
	}
}

// LeaderAddress is the leader's address, or empty.
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

// watchLeader is the leader's address, or empty, and what is closed once another
// leader is known.
func (u *Uplink) watchLeader() (string, <-chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.leaderAddress, u.leaderChanged
}
