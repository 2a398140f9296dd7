// This file defines how a cluster is founded and how replicas are told apart.

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
	identifyTimeout = time.Second
	foundInterval   = 200 * time.Millisecond
	// waitingFor is how long a replica that asked to be let in is listed.
	waitingFor = 10 * time.Second
)

// Founder answers who this replica is and finds out which cluster it belongs
// to.
//
// A replica whose disk was lost must not vote under its old identity: it has
// forgotten votes and records that it promised, and with it a majority could
// form that never saw a committed record. So each replica draws a random
// identity when its folder is new, the membership lists identities and not
// names, and a new folder founds a cluster only if every founding member
// answers that it is new too.
type Bootstrapper struct {
	Self           *wire.ControlMember
	InitialMembers []*wire.ControlMember // founding members; their ids aren't known
	Pool           *link.Pool
	// JoinOnly forbids founding: the system was founded before, and whoever
	// can't be reached now may hold its state.
	JoinOnly bool

	mu         sync.Mutex
	seeds      []*wire.ControlMember // added later; they found nothing
	membership *wire.Membership
	waiting    map[uint64]waitingReplica
	known      map[uint64]*wire.ControlMember
}

type waitingReplica struct {
	member *wire.ControlMember
	heard  time.Time
}

// SetMembership tells the founder the membership now in force.
func (f *Bootstrapper) SetMembership(m *wire.Membership) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.membership = m
}

// SetSeeds adds replicas to ask about an existing cluster. They take no part in
// founding one: who founds was settled by the first settings.
func (f *Bootstrapper) SetSeeds(members []*wire.ControlMember) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = members
}

// Identify answers another replica and notes it if it waits to be let in.
func (f *Bootstrapper) Identify(r *wire.IdentifyRequest) *wire.IdentifyResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	if from := r.GetFrom(); from.GetReplicaId() != 0 && f.membership != nil && !lists(f.membership, from.ReplicaId) {
		if f.waiting == nil {
			f.waiting = map[uint64]waitingReplica{}
		}
		f.waiting[from.ReplicaId] = waitingReplica{from, time.Now()}
	}
	return &wire.IdentifyResponse{Self: f.Self, Founding: f.membership}
}

// Waiting lists the replicas that lately asked and aren't members.
func (f *Bootstrapper) PendingJoins() []*wire.ControlMember {
	f.mu.Lock()
	defer f.mu.Unlock()
	var members []*wire.ControlMember
	for id, w := range f.waiting {
		if time.Since(w.heard) > waitingFor || lists(f.membership, id) {
			delete(f.waiting, id)
			continue
		}
		members = append(members, w.member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}

// Found blocks until this replica knows its cluster and returns the membership
// to start from. That lists no members if this replica has to be let in first.
func (f *Bootstrapper) Bootstrap(ctx context.Context) (*wire.Membership, error) {
	for {
		if m := f.tryFound(ctx); m != nil {
			return m, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(foundInterval):
		}
	}
}

func (f *Bootstrapper) tryFound(ctx context.Context) *wire.Membership {
	founding := []*wire.ControlMember{voter(f.Self)}
	answers := f.askFounders(ctx)
	for _, answer := range append(answers, f.askSeeds(ctx)...) {
		if answer.GetFounding() != nil {
			return joining(answer.Founding, f.Self.ReplicaId)
		}
	}
	for _, answer := range answers {
		if answer != nil {
			founding = append(founding, voter(answer.Self))
		}
	}
	if f.JoinOnly || !f.founds() || len(founding) < len(f.InitialMembers) {
		return nil // the silent ones may have state
	}
	sort.Slice(founding, func(i, j int) bool { return founding[i].Name < founding[j].Name })
	return &wire.Membership{Members: founding, ClusterId: clusterID(founding)}
}

// askFounders asks the founding members; nil stands for those that didn't
// answer.
func (f *Bootstrapper) askFounders(ctx context.Context) []*wire.IdentifyResponse {
	return f.askAll(ctx, f.InitialMembers)
}

// askAll asks at once, since each silent replica costs a timeout.
func (f *Bootstrapper) askAll(ctx context.Context, members []*wire.ControlMember) []*wire.IdentifyResponse {
	answers := make([]*wire.IdentifyResponse, len(members))
	var asked sync.WaitGroup
	for i, m := range members {
		if m.Address != f.Self.Address {
			asked.Go(func() { answers[i] = f.ask(ctx, m.Address) })
		}
	}
	asked.Wait()
	return answers
}

// askSeeds asks those whom later settings name, for an existing cluster.
func (f *Bootstrapper) askSeeds(ctx context.Context) []*wire.IdentifyResponse {
	f.mu.Lock()
	seeds := f.seeds
	f.mu.Unlock()
	return f.askAll(ctx, seeds)
}

// founds tells whether this replica is one of the founding members. Others
// join what those have founded.
func (f *Bootstrapper) founds() bool {
	for _, m := range f.InitialMembers {
		if m.Address == f.Self.Address {
			return true
		}
	}
	return false
}

// Announce tells all replicas known that this one waits to be let in. Any of
// them may lead, and the founding members may be gone by now.
func (f *Bootstrapper) RequestJoin(ctx context.Context) {
	var asked sync.WaitGroup
	for _, address := range f.addresses() {
		asked.Go(func() { f.ask(ctx, address) })
	}
	asked.Wait()
}

func (f *Bootstrapper) addresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := map[string]bool{f.Self.Address: true}
	var addresses []string
	add := func(m *wire.ControlMember) {
		if !seen[m.GetAddress()] {
			seen[m.GetAddress()] = true
			addresses = append(addresses, m.GetAddress())
		}
	}
	for _, m := range f.InitialMembers {
		add(m)
	}
	for _, m := range f.seeds {
		add(m)
	}
	for _, m := range f.membership.GetMembers() {
		add(m)
	}
	for _, m := range f.known {
		add(m)
	}
	return addresses
}

func (f *Bootstrapper) ask(ctx context.Context, address string) *wire.IdentifyResponse {
	conn, err := f.Pool.Conn(address)
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	answer, err := wire.NewPeerServiceClient(conn).Identify(ctx, &wire.IdentifyRequest{From: f.Self}, grpc.WaitForReady(true))
	if err != nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.learn(answer.Self)
	for _, m := range answer.Founding.GetMembers() {
		f.learn(m)
	}
	return answer
}

func (f *Bootstrapper) learn(m *wire.ControlMember) {
	if f.known == nil {
		f.known = map[uint64]*wire.ControlMember{}
	}
	f.known[m.GetReplicaId()] = m
}

// Lookup finds a replica by its identity among those heard of; nil when it is
// unknown.
func (f *Bootstrapper) Lookup(id uint64) *wire.ControlMember {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known[id]
}

// joining is what a new folder starts from beside an existing cluster: the
// whole membership if it lists this identity, else only the cluster's id.
func joining(m *wire.Membership, id uint64) *wire.Membership {
	if lists(m, id) {
		return m
	}
	return &wire.Membership{ClusterId: m.ClusterId}
}

func lists(m *wire.Membership, id uint64) bool {
	for _, member := range m.GetMembers() {
		if member.ReplicaId == id {
			return true
		}
	}
	return false
}

func voter(m *wire.ControlMember) *wire.ControlMember {
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
