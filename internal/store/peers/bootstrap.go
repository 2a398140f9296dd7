// This file defines how a cluster is bootstrapped and how replicas are identified.

package peers

import (
	"context"
	"encoding/binary"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc"

	"sycamoredeck.example/internal/base/link"
	"sycamoredeck.example/internal/schema/wire"
)

const (
	identifyTimeout        = time.Second
	bootstrapRetryInterval = 200 * time.Millisecond
	// pendingJoinTTL is how long a replica is listed after its last request to join.
	pendingJoinTTL = 10 * time.Second
)

// Bootstrapper identifies this replica to others and determines which cluster it belongs
// to.
//
// A replica whose disk was lost must not vote under its old identity: it no longer has the
// votes and log entries that it acknowledged, and could help elect a leader without a
// committed entry. Each replica therefore draws a random identity when its folder is new,
// the membership refers to replicas by identity rather than name, and a new folder
// bootstraps a cluster only if every initial member responds that its folder is new too.
type Bootstrapper struct {
	Self           *wire.ControlMember
	InitialMembers []*wire.ControlMember // members to bootstrap with; without replica IDs
	Pool           *link.Pool
	// JoinOnly prevents bootstrapping a new cluster, for a replica of a cluster that
	// already exists: members that are unreachable now may have its state.
	JoinOnly bool

	mu           sync.Mutex
	seeds        []*wire.ControlMember // set later; not part of bootstrapping
	membership   *wire.Membership
	pendingJoins map[uint64]pendingJoin
	knownMembers map[uint64]*wire.ControlMember
}

// pendingJoin is a replica that has requested to join the cluster.
type pendingJoin struct {
	member   *wire.ControlMember
	lastSeen time.Time
}

// SetMembership sets the current membership.
func (b *Bootstrapper) SetMembership(m *wire.Membership) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.membership = m
}

// SetSeeds sets additional replicas to ask about an existing cluster. They don't become
// initial members, which the settings at the first start determine.
func (b *Bootstrapper) SetSeeds(members []*wire.ControlMember) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seeds = members
}

// Identify responds to another replica and records it as a pending join if it isn't a
// member.
func (b *Bootstrapper) Identify(r *wire.IdentifyRequest) *wire.IdentifyResponse {
	b.mu.Lock()
	defer b.mu.Unlock()
	if from := r.GetFrom(); from.GetReplicaId() != 0 && b.membership != nil && !containsMember(b.membership, from.ReplicaId) {
		if b.pendingJoins == nil {
			b.pendingJoins = map[uint64]pendingJoin{}
		}
		b.pendingJoins[from.ReplicaId] = pendingJoin{from, time.Now()}
	}
	return &wire.IdentifyResponse{Self: b.Self, Founding: b.membership}
}

// PendingJoins returns the replicas that have recently requested to join, sorted by name.
func (b *Bootstrapper) PendingJoins() []*wire.ControlMember {
	b.mu.Lock()
	defer b.mu.Unlock()
	var members []*wire.ControlMember
	for id, w := range b.pendingJoins {
		if time.Since(w.lastSeen) > pendingJoinTTL || containsMember(b.membership, id) {
			delete(b.pendingJoins, id)
			continue
		}
		members = append(members, w.member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}

// Bootstrap waits until this replica knows its cluster and returns the membership to start
// from. The membership is empty if this replica must join an existing cluster first.
func (b *Bootstrapper) Bootstrap(ctx context.Context) (*wire.Membership, error) {
	for {
		if m := b.tryBootstrap(ctx); m != nil {
			return m, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(bootstrapRetryInterval):
		}
	}
}

func (b *Bootstrapper) tryBootstrap(ctx context.Context) *wire.Membership {
	initial := []*wire.ControlMember{asVoter(b.Self)}
	responses := b.identifyInitialMembers(ctx)
	for _, r := range append(responses, b.identifySeeds(ctx)...) {
		if r.GetFounding() != nil {
			return joinMembership(r.Founding, b.Self.ReplicaId)
		}
	}
	for _, r := range responses {
		if r != nil {
			initial = append(initial, asVoter(r.Self))
		}
	}
	if b.JoinOnly || !b.isInitialMember() || len(initial) < len(b.InitialMembers) {
		return nil // members that didn't respond may have state
	}
	sort.Slice(initial, func(i, j int) bool { return initial[i].Name < initial[j].Name })
	return &wire.Membership{Members: initial, ClusterId: clusterID(initial)}
}

// identifyInitialMembers asks the initial members which cluster they belong to. The response
// is nil for this replica and for those that didn't respond.
func (b *Bootstrapper) identifyInitialMembers(ctx context.Context) []*wire.IdentifyResponse {
	return b.identifyAll(ctx, b.InitialMembers)
}

// identifyAll asks all members concurrently, since each unreachable one takes until the
// timeout.
func (b *Bootstrapper) identifyAll(ctx context.Context, members []*wire.ControlMember) []*wire.IdentifyResponse {
	responses := make([]*wire.IdentifyResponse, len(members))
	var requests sync.WaitGroup
	for i, m := range members {
		if m.Address != b.Self.Address {
			requests.Go(func() { responses[i] = b.identifyPeer(ctx, m.Address) })
		}
	}
	requests.Wait()
	return responses
}

// identifySeeds asks the seeds about an existing cluster.
func (b *Bootstrapper) identifySeeds(ctx context.Context) []*wire.IdentifyResponse {
	b.mu.Lock()
	seeds := b.seeds
	b.mu.Unlock()
	return b.identifyAll(ctx, seeds)
}

// isInitialMember reports whether this replica is an initial member. Others join a cluster
// that those have bootstrapped.
func (b *Bootstrapper) isInitialMember() bool {
	for _, m := range b.InitialMembers {
		if m.Address == b.Self.Address {
			return true
		}
	}
	return false
}

// RequestJoin asks every known replica to let this one join. Any of them may be the leader,
// and the initial members may no longer exist.
func (b *Bootstrapper) RequestJoin(ctx context.Context) {
	var requests sync.WaitGroup
	for _, a := range b.addresses() {
		requests.Go(func() { b.identifyPeer(ctx, a) })
	}
	requests.Wait()
}

func (b *Bootstrapper) addresses() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	seen := map[string]bool{b.Self.Address: true}
	var addresses []string
	add := func(m *wire.ControlMember) {
		if !seen[m.GetAddress()] {
			seen[m.GetAddress()] = true
			addresses = append(addresses, m.GetAddress())
		}
	}
	for _, m := range b.InitialMembers {
		add(m)
	}
	for _, m := range b.seeds {
		add(m)
	}
	for _, m := range b.membership.GetMembers() {
		add(m)
	}
	for _, m := range b.knownMembers {
		add(m)
	}
	return addresses
}

func (b *Bootstrapper) identifyPeer(ctx context.Context, address string) *wire.IdentifyResponse {
	conn, err := b.Pool.Conn(address)
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	response, err := wire.NewPeerServiceClient(conn).Identify(ctx, &wire.IdentifyRequest{From: b.Self}, grpc.WaitForReady(true))
	if err != nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addKnown(response.Self)
	for _, m := range response.Founding.GetMembers() {
		b.addKnown(m)
	}
	return response
}

func (b *Bootstrapper) addKnown(m *wire.ControlMember) {
	if b.knownMembers == nil {
		b.knownMembers = map[uint64]*wire.ControlMember{}
	}
	b.knownMembers[m.GetReplicaId()] = m
}

// Lookup returns a known replica by its identity, or nil if it is unknown.
func (b *Bootstrapper) Lookup(id uint64) *wire.ControlMember {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.knownMembers[id]
}

// joinMembership returns the membership from which a replica of an existing cluster starts:
// all of it if the replica is a member, and otherwise only the cluster ID.
func joinMembership(m *wire.Membership, id uint64) *wire.Membership {
	if containsMember(m, id) {
		return m
	}
	return &wire.Membership{ClusterId: m.ClusterId}
}

func containsMember(m *wire.Membership, id uint64) bool {
	for _, cm := range m.GetMembers() {
		if cm.ReplicaId == id {
			return true
		}
	}
	return false
}

func asVoter(m *wire.ControlMember) *wire.ControlMember {
	return &wire.ControlMember{Name: m.Name, Address: m.Address, ReplicaId: m.ReplicaId, Voter: true}
}

func clusterID(members []*wire.ControlMember) uint64 {
	var data []byte
	for _, m := range members {
		data = append(data, m.Name...)
		data = binary.LittleEndian.AppendUint64(data, m.ReplicaId)
	}
	return xxhash.Sum64(data)
}
