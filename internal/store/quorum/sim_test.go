// This file defines a simulation of clusters under seeded fault schedules.

package quorum_test

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/quorum"
	"sycamoredeck.example/internal/store/state"
)

// simFaults holds the probability of each fault per step, unless noted.
type simFaults struct {
	crash, restart, cut, heal, drop, duplicate, snapshot, replace, transfer float64
	// wipe is the probability that a replica and its disk are lost permanently. No further
	// disk is lost until that replica has been replaced.
	wipe float64
	// slowDisk is the probability that a write in progress continues in the background.
	slowDisk float64
	// powerLoss is the probability that all replicas crash, freeze that one stops for a time.
	powerLoss, freeze float64
	// restartElection switches it on, and has all clocks run at the same rate, on which leader
	// leases rely: see restart_sim_test.go.
	restartElection bool
}

type (
	simDisk struct {
		vote     *wire.Vote
		snapshot *wire.Snapshot
		entries  []*wire.LogRecord
	}

	simWaiter struct {
		term uint64
		done func(*state.Result)
	}

	simRead struct {
		round, index uint64
		done         func(version uint64, ok bool)
	}

	simReplica struct {
		id      uint64
		core    *quorum.Core
		machine *state.Machine
		disk    simDisk
		waiters map[uint64]simWaiter
		reads   []simRead
		// persisting is the Ready being synced, or nil.
		persisting   *quorum.Ready
		appliedIndex uint64
		appliedTerm  uint64
		// frozenUntil is the step until which it does nothing, sentAt the step at which each
		// heartbeat round was sent.
		frozenUntil int64
		sentAt      map[uint64]int64
	}

	// sim is a cluster in which every step is derived from one seed.
	sim struct {
		random   *rand.Rand
		faults   simFaults
		replicas map[uint64]*simReplica // those that are up
		down     map[uint64]simDisk
		network  []*wire.PeerMessage
		cutLinks map[[2]uint64]bool // by sender and receiver
		nextID   uint64

		committed  map[uint64]*wire.LogRecord
		leaders    map[uint64]uint64 // term to replica
		violations []string
		wipedDisks int

		step       int64
		operations []porcupine.Operation
		clients    int
		// losesSynced makes crashes lose synced entries too. The simulation must detect
		// that.
		losesSynced bool

		darkUntil        int64           // the step until which all replicas are without power
		restartElections map[uint64]bool // by term
	}
)

func newSim(seed uint64, size int, faults simFaults) *sim {
	s := &sim{
		random: rand.New(rand.NewPCG(seed, 7)), faults: faults, nextID: 1,
		replicas: map[uint64]*simReplica{}, down: map[uint64]simDisk{}, cutLinks: map[[2]uint64]bool{},
		committed: map[uint64]*wire.LogRecord{}, leaders: map[uint64]uint64{}, restartElections: map[uint64]bool{},
	}
	initial := &wire.Membership{ClusterId: 9}
	for range size {
		initial.Members = append(initial.Members, &wire.ControlMember{ReplicaId: s.nextID, Voter: true})
		s.nextID++
	}
	for _, m := range initial.Members {
		s.start(m.ReplicaId, simDisk{snapshot: &wire.Snapshot{Membership: initial}})
	}
	return s
}

func (s *sim) start(id uint64, disk simDisk) {
	r := &simReplica{id: id, disk: disk, machine: state.New(state.Options{}), waiters: map[uint64]simWaiter{}, sentAt: map[uint64]int64{}}
	if len(disk.snapshot.State) > 0 {
		s.check(r.machine.Load(disk.snapshot.State) == nil, "replica %d: snapshot can't be loaded", id)
	}
	r.appliedIndex, r.appliedTerm = disk.snapshot.Index, disk.snapshot.Term
	r.core = quorum.New(quorum.Options{
		ID: id, ElectionTicks: 10, HeartbeatTicks: 2, Random: s.random.IntN, RestartElection: s.faults.restartElection,
	}, quorum.DurableState{Vote: disk.vote, Snapshot: disk.snapshot, Entries: slices.Clone(disk.entries)})
	s.replicas[id] = r
	delete(s.down, id)
}

func (s *sim) check(ok bool, format string, args ...any) {
	if !ok {
		s.violations = append(s.violations, fmt.Sprintf("step %d: ", s.step)+fmt.Sprintf(format, args...))
	}
}

func (s *sim) chance(p float64) bool { return s.random.Float64() < p }

// randomReplica returns a random replica that is up, or nil. The choice depends only on the
// seed.
func (s *sim) randomReplica() *simReplica {
	ids := make([]uint64, 0, len(s.replicas))
	for id := range s.replicas {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return nil
	}
	slices.Sort(ids)
	return s.replicas[ids[s.random.IntN(len(ids))]]
}

func (s *sim) run(steps int) {
	for range steps {
		s.step++
		s.injectFaults()
		if s.faults.restartElection {
			s.stepClocks()
		}
		if r := s.randomReplica(); r != nil && s.step >= r.frozenUntil {
			if !s.faults.restartElection && s.chance(0.3) {
				r.core.Tick()
			}
			s.runClients(r)
			s.processReady(r)
		}
		for range s.random.IntN(4) {
			s.deliver()
		}
	}
}

// stabilize ends all faults and runs the cluster until it is stable.
func (s *sim) stabilize() {
	s.faults = simFaults{}
	clear(s.cutLinks)
	ids := make([]uint64, 0, len(s.down))
	for id := range s.down {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		s.start(id, s.down[id])
	}
	for range 4000 {
		s.step++
		r := s.randomReplica()
		if s.chance(0.3) {
			r.core.Tick()
		}
		s.processReady(r)
		for range 4 {
			s.deliver()
		}
	}
}

func (s *sim) injectFaults() {
	if s.chance(s.faults.crash) {
		if r := s.randomReplica(); r != nil {
			s.crash(r)
		}
	}
	if s.step >= s.darkUntil && s.chance(s.faults.restart) {
		ids := make([]uint64, 0, len(s.down))
		for id := range s.down {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		if len(ids) > 0 {
			id := ids[s.random.IntN(len(ids))]
			s.start(id, s.down[id])
		}
	}
	if s.chance(s.faults.cut) {
		a, b := s.randomReplica(), s.randomReplica()
		if a != nil && a != b {
			s.cutLinks[[2]uint64{a.id, b.id}] = true
		}
	}
	if s.chance(s.faults.heal) {
		clear(s.cutLinks)
	}
	if s.chance(s.faults.wipe) {
		s.wipe()
	}
}

// wipe loses a replica and its disk, unless some replica still counts an earlier lost one as
// a voter, or is down and might.
func (s *sim) wipe() {
	r := s.randomReplica()
	if r == nil || len(s.down) > 0 {
		return
	}
	for _, o := range s.replicas {
		if _, lost := s.permanentlyLost(o.core.Members().GetMembers()); lost {
			return
		}
	}
	s.crash(r)
	delete(s.down, r.id)
	s.wipedDisks++
}

func (s *sim) crash(r *simReplica) {
	for _, i := range sortedKeys(r.waiters) {
		r.waiters[i].done(nil)
	}
	for _, rd := range r.reads {
		rd.done(0, false)
	}
	if s.losesSynced && len(r.disk.entries) > 0 {
		r.disk.entries = r.disk.entries[:len(r.disk.entries)/2]
	}
	delete(s.replicas, r.id)
	s.down[r.id] = r.disk
}

func sortedKeys[V any](m map[uint64]V) []uint64 {
	keys := make([]uint64, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (s *sim) deliver() {
	if len(s.network) == 0 {
		return
	}
	i := s.random.IntN(min(len(s.network), 8)) // reorders messages slightly
	m := s.network[i]
	s.network = slices.Delete(s.network, i, i+1)
	if s.chance(s.faults.duplicate) {
		s.network = append(s.network, m)
	}
	r := s.replicas[m.To]
	if r != nil && s.step < r.frozenUntil {
		s.network = append(s.network, m)
		return
	}
	if r == nil || s.cutLinks[[2]uint64{m.From, m.To}] || s.chance(s.faults.drop) {
		return
	}
	// A network delivers a copy.
	r.core.Step(proto.Clone(m).(*wire.PeerMessage))
	s.processReady(r)
}

// processReady does what the node does with a replica's Ready. The replica may crash
// between any two of its steps, which loses what wasn't synced.
func (s *sim) processReady(r *simReplica) {
	prompt := r.core.NextPrompt()
	s.checkResponses(r, prompt)
	s.network = append(s.network, prompt...)
	if r.persisting == nil {
		rd := r.core.Ready()
		s.network = append(s.network, rd.Appends...)
		r.persisting = &rd
	}
	if s.chance(s.faults.crash) {
		s.crash(r)
		return
	}
	if s.chance(s.faults.slowDisk) {
		if s.chance(0.5) {
			s.network = append(s.network, r.core.NextAppends()...)
		}
		s.applyAll(r, r.core.NextCommittedEntries())
		s.afterReady(r)
		return
	}
	rd := *r.persisting
	r.persisting = nil
	if rd.Vote != nil {
		r.disk.vote = rd.Vote
	}
	if rd.Snapshot != nil {
		r.disk.snapshot, r.disk.entries = rd.Snapshot, nil
	}
	if len(rd.Entries) > 0 {
		r.disk.append(rd.Entries)
	}
	if s.chance(s.faults.crash) {
		s.crash(r)
		return
	}
	r.core.Synced(rd)
	s.checkResponses(r, rd.Messages)
	s.network = append(s.network, rd.Messages...)
	if rd.Snapshot != nil {
		s.check(r.machine.Load(rd.Snapshot.State) == nil, "replica %d: snapshot can't be loaded", r.id)
		r.appliedIndex, r.appliedTerm = rd.Snapshot.Index, rd.Snapshot.Term
	}
	s.applyAll(r, r.core.NextCommittedEntries())
	s.afterReady(r)
}

func (s *sim) applyAll(r *simReplica, entries []*wire.LogRecord) {
	for _, e := range entries {
		s.apply(r, e)
	}
}

// checkResponses checks that responses promise nothing that isn't on disk. Several messages
// may have been handled before one write, so that the disk is already at a later term than
// the response, which is then void: a vote for one term and then for the next, or an entry
// acknowledged and then overwritten by the next term's leader.
func (s *sim) checkResponses(r *simReplica, messages []*wire.PeerMessage) {
	for _, m := range messages {
		switch {
		case r.disk.vote.GetTerm() > m.Term:
		case m.Kind == wire.PeerMessageKind_PEER_MESSAGE_KIND_VOTE_ANSWER && !m.Reject:
			saved := r.disk.vote.GetTerm() == m.Term && r.disk.vote.GetVotedFor() == m.To
			s.check(saved, "replica %d granted a vote that isn't on disk", r.id)
		case m.Kind == wire.PeerMessageKind_PEER_MESSAGE_KIND_APPEND_ANSWER && !m.Reject:
			lastIndex := r.disk.snapshot.Index + uint64(len(r.disk.entries))
			s.check(m.Index <= lastIndex, "replica %d acknowledged entry %d but has only %d on disk", r.id, m.Index, lastIndex)
		case m.Kind == wire.PeerMessageKind_PEER_MESSAGE_KIND_ROUND_ANSWER:
			s.check(r.disk.vote.GetTerm() == m.Term, "replica %d answered a round of term %d with term %d on disk", r.id, m.Term, r.disk.vote.GetTerm())
		default:
		}
	}
}

func (d *simDisk) append(entries []*wire.LogRecord) {
	first := entries[0].Index
	kept := d.entries
	for i, r := range kept {
		if r.Index >= first {
			kept = kept[:i]
			break
		}
	}
	d.entries = append(slices.Clone(kept), entries...)
}

func (s *sim) apply(r *simReplica, entry *wire.LogRecord) {
	s.check(entry.Index == r.appliedIndex+1, "replica %d applied entry %d after %d", r.id, entry.Index, r.appliedIndex)
	if existing := s.committed[entry.Index]; existing == nil {
		s.committed[entry.Index] = entry
	} else {
		s.check(proto.Equal(existing, entry), "two different entries committed at index %d", entry.Index)
	}
	var result state.Result
	if entry.Command != nil {
		result = r.machine.Apply(entry.Command)
	}
	r.appliedIndex, r.appliedTerm = entry.Index, entry.Term
	if w, ok := r.waiters[entry.Index]; ok {
		delete(r.waiters, entry.Index)
		if w.term == entry.Term {
			w.done(&result)
		} else {
			w.done(nil)
		}
	}
}

func (s *sim) afterReady(r *simReplica) {
	status := r.core.Status()
	if status.Role == quorum.Leader {
		if other, ok := s.leaders[status.Term]; ok {
			s.check(other == r.id, "replicas %d and %d are both leader in term %d", other, r.id, status.Term)
		}
		s.leaders[status.Term] = r.id
	}
	s.recordRound(r, status)
	kept := r.reads[:0]
	for _, rd := range r.reads {
		switch {
		case status.Role != quorum.Leader:
			rd.done(0, false)
		case status.ConfirmedRound >= rd.round && r.appliedIndex >= rd.index:
			rd.done(r.machine.Configuration().Version, true)
		default:
			kept = append(kept, rd)
		}
	}
	r.reads = kept
	if r.appliedIndex > status.FirstIndex && s.chance(s.faults.snapshot) {
		s.snapshot(r)
	}
}

func (s *sim) snapshot(r *simReplica) {
	data, err := r.machine.Save()
	s.check(err == nil, "replica %d: state can't be saved", r.id)
	snapshot := &wire.Snapshot{
		Index: r.appliedIndex, Term: r.appliedTerm, State: data,
		Membership: proto.Clone(r.core.MembersAt(r.appliedIndex)).(*wire.Membership),
	}
	r.core.Compact(snapshot)
	r.disk.snapshot = snapshot
	for len(r.disk.entries) > 0 && r.disk.entries[0].Index <= snapshot.Index {
		r.disk.entries = r.disk.entries[1:]
	}
}

// runClients starts random operations of clients and operators at a replica.
func (s *sim) runClients(r *simReplica) {
	status := r.core.Status()
	if status.Role != quorum.Leader || r.appliedTerm != status.Term {
		return
	}
	if s.chance(s.faults.transfer) {
		r.core.TransferLeadership()
	}
	if s.chance(s.faults.replace) {
		s.changeMembers(r)
	}
	if len(r.waiters)+len(r.reads) > 3 {
		return
	}
	switch {
	case s.chance(0.15):
		s.write(r)
	case s.chance(0.15):
		s.read(r, status.Commit)
	}
}

// permanentlyLost returns a voter that can never vote again because its disk is lost.
func (s *sim) permanentlyLost(members []*wire.ControlMember) (uint64, bool) {
	for _, m := range members {
		_, down := s.down[m.ReplicaId]
		if m.Voter && !down && s.replicas[m.ReplicaId] == nil {
			return m.ReplicaId, true
		}
	}
	return 0, false
}

// changeMembers takes the next step of replacing a random member by a new replica, as the
// operator command does, or replaces a voter whose disk is lost in one step. Errors are
// expected.
func (s *sim) changeMembers(r *simReplica) {
	members := r.core.Members().Members
	for _, m := range members {
		if m.Voter {
			continue
		}
		if old, ok := s.permanentlyLost(members); ok {
			_ = r.core.Replace(old, m.ReplicaId)
			return
		}
		_ = r.core.Promote(m.ReplicaId)
		return
	}
	_, lost := s.permanentlyLost(members)
	if lost || len(members) < 5 && s.chance(0.6) {
		id := s.nextID
		if r.core.AddLearner(&wire.ControlMember{ReplicaId: id}) == nil {
			s.nextID++
			s.start(id, simDisk{snapshot: &wire.Snapshot{Membership: &wire.Membership{ClusterId: 9}}})
		}
		return
	}
	if len(members) > 3 && s.faults.wipe == 0 {
		_ = r.core.Remove(members[s.random.IntN(len(members))].ReplicaId)
	}
}
