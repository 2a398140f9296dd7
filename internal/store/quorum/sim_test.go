// This file defines a simulation of whole clusters under seeded schedules.

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

// simFaults are probabilities, per step unless said otherwise.
type simFaults struct {
	crash, restart, cut, heal, drop, duplicate, snapshot, replace, transfer float64
	// wipe loses a replica with its disk, for good; no further one until it is
	// replaced.
	wipe float64
	// slowDisk is that of a write which goes on while the replica does other things.
	slowDisk float64
}

type (
	simDisk struct {
		vote     *wire.Vote
		snapshot *wire.Snapshot
		records  []*wire.LogRecord
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
		// writing is what is being synced; nil when nothing is.
		persisting   *quorum.Ready
		appliedIndex uint64
		appliedTerm  uint64
	}

	// sim is a cluster whose every step is drawn from one seed.
	sim struct {
		random   *rand.Rand
		faults   simFaults
		replicas map[uint64]*simReplica // those that are up
		down     map[uint64]simDisk
		network  []*wire.PeerMessage
		cutLinks map[[2]uint64]bool
		nextID   uint64

		committed  map[uint64]*wire.LogRecord
		leaders    map[uint64]uint64 // term to replica
		violations []string
		wipedDisks int

		step       int64
		operations []porcupine.Operation
		clients    int
		// forgetful makes crashes lose synced records too: the fault that the
		// simulation must be able to find.
		losesSynced bool
	}
)

func newSim(seed uint64, size int, faults simFaults) *sim {
	s := &sim{
		random: rand.New(rand.NewPCG(seed, 7)), faults: faults, nextID: 1,
		replicas: map[uint64]*simReplica{}, down: map[uint64]simDisk{}, cutLinks: map[[2]uint64]bool{},
		committed: map[uint64]*wire.LogRecord{}, leaders: map[uint64]uint64{},
	}
	founding := &wire.Membership{ClusterId: 9}
	for range size {
		founding.Members = append(founding.Members, &wire.ControlMember{ReplicaId: s.nextID, Voter: true})
		s.nextID++
	}
	for _, m := range founding.Members {
		s.start(m.ReplicaId, simDisk{snapshot: &wire.Snapshot{Membership: founding}})
	}
	return s
}

func (s *sim) start(id uint64, disk simDisk) {
	r := &simReplica{id: id, disk: disk, machine: state.New(state.Options{}), waiters: map[uint64]simWaiter{}}
	if len(disk.snapshot.State) > 0 {
		s.check(r.machine.Load(disk.snapshot.State) == nil, "replica %d: snapshot can't be loaded", id)
	}
	r.appliedIndex, r.appliedTerm = disk.snapshot.Index, disk.snapshot.Term
	r.core = quorum.New(quorum.Options{
		ID: id, ElectionTicks: 10, HeartbeatTicks: 2, Random: s.random.IntN,
	}, quorum.DurableState{Vote: disk.vote, Snapshot: disk.snapshot, Entries: slices.Clone(disk.records)})
	s.replicas[id] = r
	delete(s.down, id)
}

func (s *sim) check(ok bool, format string, args ...any) {
	if !ok {
		s.violations = append(s.violations, fmt.Sprintf("step %d: ", s.step)+fmt.Sprintf(format, args...))
	}
}

func (s *sim) chance(p float64) bool { return s.random.Float64() < p }

// pick gives a random replica that is up, in an order that the seed fixes.
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
		if r := s.randomReplica(); r != nil {
			if s.chance(0.3) {
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

// settle ends all faults and lets the cluster come to rest.
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
	if s.chance(s.faults.restart) {
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

// wipe loses a replica and its disk unless an earlier loss may still count: as
// long as any replica, also one that is down, takes the lost one for a voter.
func (s *sim) wipe() {
	r := s.randomReplica()
	if r == nil || len(s.down) > 0 {
		return
	}
	for _, other := range s.replicas {
		if _, lost := s.permanentlyLost(other.core.Members().GetMembers()); lost {
			return
		}
	}
	s.crash(r)
	delete(s.down, r.id)
	s.wipedDisks++
}

func (s *sim) crash(r *simReplica) {
	for _, index := range sortedKeys(r.waiters) {
		r.waiters[index].done(nil)
	}
	for _, read := range r.reads {
		read.done(0, false)
	}
	if s.losesSynced && len(r.disk.records) > 0 {
		r.disk.records = r.disk.records[:len(r.disk.records)/2]
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
	i := s.random.IntN(min(len(s.network), 8)) // mostly in order, not always
	m := s.network[i]
	s.network = slices.Delete(s.network, i, i+1)
	if s.chance(s.faults.duplicate) {
		s.network = append(s.network, m)
	}
	r := s.replicas[m.To]
	if r == nil || s.cutLinks[[2]uint64{m.From, m.To}] || s.chance(s.faults.drop) {
		return
	}
	// What crosses a network is a copy.
	r.core.Step(proto.Clone(m).(*wire.PeerMessage))
	s.processReady(r)
}

// flush does what the node does with a replica's output, and may crash
// between any two of its steps, which loses what wasn't synced.
func (s *sim) processReady(r *simReplica) {
	if r.persisting == nil {
		out := r.core.Ready()
		s.network = append(s.network, out.Appends...)
		r.persisting = &out
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
	out := *r.persisting
	r.persisting = nil
	if out.Vote != nil {
		r.disk.vote = out.Vote
	}
	if out.Snapshot != nil {
		r.disk.snapshot, r.disk.records = out.Snapshot, nil
	}
	if len(out.Entries) > 0 {
		r.disk.append(out.Entries)
	}
	if s.chance(s.faults.crash) {
		s.crash(r)
		return
	}
	r.core.Synced(out)
	s.checkResponses(r, out.Messages)
	s.network = append(s.network, out.Messages...)
	if out.Snapshot != nil {
		s.check(r.machine.Load(out.Snapshot.State) == nil, "replica %d: snapshot can't be loaded", r.id)
		r.appliedIndex, r.appliedTerm = out.Snapshot.Index, out.Snapshot.Term
	}
	s.applyAll(r, r.core.NextCommittedEntries())
	s.afterReady(r)
}

func (s *sim) applyAll(r *simReplica, records []*wire.LogRecord) {
	for _, record := range records {
		s.apply(r, record)
	}
}

// checkResponses finds answers that promise what isn't on the disk. Several messages
// may have been taken before one write: seed 5 of slow disks has a vote for one term
// and then for the next (step 1113), seed 72 of slow disks and members a record
// acknowledged and then replaced by the next term's leader (step 833). What is on the
// disk then is what it would be had each been written by itself, the later term
// included, so that nothing of the earlier one is promised any more.
func (s *sim) checkResponses(r *simReplica, messages []*wire.PeerMessage) {
	for _, m := range messages {
		switch {
		case r.disk.vote.GetTerm() > m.Term:
		case m.Kind == wire.PeerMessageKind_PEER_MESSAGE_KIND_VOTE_ANSWER && !m.Reject:
			saved := r.disk.vote.GetTerm() == m.Term && r.disk.vote.GetVotedFor() == m.To
			s.check(saved, "replica %d gives a vote that isn't saved", r.id)
		case m.Kind == wire.PeerMessageKind_PEER_MESSAGE_KIND_APPEND_ANSWER && !m.Reject:
			held := r.disk.snapshot.Index + uint64(len(r.disk.records))
			s.check(m.Index <= held, "replica %d acknowledges record %d and holds %d", r.id, m.Index, held)
		default:
		}
	}
}

func (d *simDisk) append(records []*wire.LogRecord) {
	first := records[0].Index
	kept := d.records
	for i, r := range kept {
		if r.Index >= first {
			kept = kept[:i]
			break
		}
	}
	d.records = append(slices.Clone(kept), records...)
}

func (s *sim) apply(r *simReplica, record *wire.LogRecord) {
	s.check(record.Index == r.appliedIndex+1, "replica %d applies %d after %d", r.id, record.Index, r.appliedIndex)
	if known := s.committed[record.Index]; known == nil {
		s.committed[record.Index] = record
	} else {
		s.check(proto.Equal(known, record), "two records committed at %d", record.Index)
	}
	var result state.Result
	if record.Command != nil {
		result = r.machine.Apply(record.Command)
	}
	r.appliedIndex, r.appliedTerm = record.Index, record.Term
	if w, ok := r.waiters[record.Index]; ok {
		delete(r.waiters, record.Index)
		if w.term == record.Term {
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
			s.check(other == r.id, "replicas %d and %d both lead term %d", other, r.id, status.Term)
		}
		s.leaders[status.Term] = r.id
	}
	kept := r.reads[:0]
	for _, read := range r.reads {
		switch {
		case status.Role != quorum.Leader:
			read.done(0, false)
		case status.ConfirmedRound >= read.round && r.appliedIndex >= read.index:
			read.done(r.machine.Configuration().Version, true)
		default:
			kept = append(kept, read)
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
	for len(r.disk.records) > 0 && r.disk.records[0].Index <= snapshot.Index {
		r.disk.records = r.disk.records[1:]
	}
}

// act lets clients and operators do something at a replica.
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

// permanentlyLost returns a voter that surely never votes again: its disk is gone.
func (s *sim) permanentlyLost(members []*wire.ControlMember) (uint64, bool) {
	for _, m := range members {
		_, asleep := s.down[m.ReplicaId]
		if m.Voter && !asleep && s.replicas[m.ReplicaId] == nil {
			return m.ReplicaId, true
		}
	}
	return 0, false
}

// changeMembers takes the next step of replacing a random member by a new
// replica, as the operator's command does, or in one step the place of one
// whose disk is gone. Refusals are part of it.
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
