// This file defines the tests of the replicated log.

package quorum_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/quorum"
)

const stepsPerSeed = 1500

// seedsPerCase is how many schedules CI plays of each case, seed 72 among them, which is kept
// as a regression test. More are played by hand with SYCAMOREDECK_SEEDS.
var seedsPerCase = seedCount(150)

func seedCount(usual int) int {
	if n, err := strconv.Atoi(os.Getenv("SYCAMOREDECK_SEEDS")); err == nil {
		return n
	}
	return usual
}

func assertConsistent(t *testing.T, seed uint64, s *sim) {
	t.Helper()
	assert.Assert(t, len(s.violations) == 0, "seed %d: %v", seed, s.violations)
	assert.Assert(t, s.linearizable(), "seed %d: the history isn't linearizable", seed)
}

// Symptom: operators see a configuration revert, or two of them are both told
// that they won. Sequence: replicas crash between any two steps of a turn and
// lose what wasn't synced; messages are lost, doubled, late and out of order;
// links are cut one way; leaders hand over; members are replaced. Cause, where
// it fails: a vote or record promised before it was on disk, a commitment
// counted over the wrong majority, or a read by a leader of the past.
func TestClusterUnderFaults(t *testing.T) {
	cases := []struct {
		name   string
		size   int
		faults simFaults
	}{
		{"crashes", 3, simFaults{crash: 0.004, restart: 0.05}},
		{"network", 3, simFaults{cut: 0.02, heal: 0.01, drop: 0.05, duplicate: 0.02}},
		{"snapshots", 3, simFaults{crash: 0.004, restart: 0.05, drop: 0.05, cut: 0.01, heal: 0.01, snapshot: 0.02}},
		{"members", 3, simFaults{crash: 0.002, restart: 0.05, drop: 0.02, snapshot: 0.01, replace: 0.05}},
		{"lost disks", 5, simFaults{crash: 0.002, restart: 0.1, cut: 0.01, heal: 0.02, drop: 0.02, snapshot: 0.01, replace: 0.1, wipe: 0.005}},
		{"slow disks", 3, simFaults{crash: 0.004, restart: 0.05, cut: 0.02, heal: 0.02, drop: 0.03, snapshot: 0.02, transfer: 0.005, slowDisk: 0.6}},
		{"slow disks and members", 5, simFaults{crash: 0.002, restart: 0.1, cut: 0.01, heal: 0.02, drop: 0.02, snapshot: 0.01, replace: 0.1, wipe: 0.005, slowDisk: 0.4}},
		{"everything", 5, simFaults{crash: 0.003, restart: 0.05, cut: 0.02, heal: 0.01, drop: 0.05, duplicate: 0.02, snapshot: 0.02, replace: 0.03, transfer: 0.01}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			operations, wiped := 0, 0
			for seed := range uint64(seedsPerCase) {
				s := newSim(seed, c.size, c.faults)
				s.run(stepsPerSeed)
				assertConsistent(t, seed, s)
				operations += len(s.operations)
				wiped += s.wipedDisks
			}
			assert.Assert(t, c.faults.wipe == 0 || wiped > seedsPerCase/4, "only %d disks were lost", wiped)
			assert.Assert(t, operations > seedsPerCase*10, "only %d operations: the schedules stop the cluster", operations)
		})
	}
}

// The simulation must be able to find a broken disk: here a crash loses synced
// records as well.
func TestSimulationDetectsLostEntries(t *testing.T) {
	found := 0
	for seed := range uint64(40) {
		s := newSim(seed, 3, simFaults{crash: 0.01, restart: 0.05})
		s.losesSynced = true
		s.run(stepsPerSeed)
		if len(s.violations) > 0 || !s.linearizable() {
			found++
		}
	}
	assert.Assert(t, found > 0)
}

// Symptom: after faults end the cluster stays without a leader or replicas
// differ for good. Every schedule must come to rest.
func TestClusterConvergesAfterFaults(t *testing.T) {
	for seed := range uint64(60) {
		s := newSim(seed, 3, simFaults{crash: 0.004, restart: 0.05, cut: 0.02, heal: 0.01, drop: 0.05, snapshot: 0.02})
		s.run(stepsPerSeed)
		s.stabilize()
		assertConsistent(t, seed, s)
		var applied, leaders uint64
		for _, r := range s.replicas {
			applied = max(applied, r.appliedIndex)
			if r.core.Status().Role == quorum.Leader {
				leaders++
			}
		}
		assert.Equal(t, leaders, uint64(1), "seed %d", seed)
		for id, r := range s.replicas {
			assert.Assert(t, r.appliedIndex+5 >= applied, "seed %d: replica %d applied %d of %d", seed, id, r.appliedIndex, applied)
		}
	}
}

func newTestCluster(t *testing.T) *sim {
	t.Helper()
	s := newSim(3, 3, simFaults{})
	s.stabilize()
	return s
}

func leaderOf(t *testing.T, s *sim) *simReplica {
	t.Helper()
	for _, r := range s.replicas {
		if r.core.Status().Role == quorum.Leader {
			return r
		}
	}
	t.Fatal("no leader")
	return nil
}

// Symptom: a replica that was cut off for hours comes back and the leader that
// served all the while is deposed. Sequence: cut off, its election timer fires
// again and again; reconnected, its messages bear a high term. Cause: terms
// raised without asking whether an election could be won. Pre-vote prevents it.
func TestIsolatedReplicaDoesNotDeposeLeader(t *testing.T) {
	s := newTestCluster(t)
	leader := leaderOf(t, s)
	term := leader.core.Status().Term
	var isolated *simReplica
	for _, r := range s.replicas {
		if r != leader {
			isolated = r
		}
	}
	for range 10000 {
		isolated.core.Tick()
		isolated.core.Ready() // all it says is lost
	}
	assert.Equal(t, isolated.core.Status().Term, term)
	s.stabilize()
	assert.Equal(t, leaderOf(t, s).id, leader.id)
	assert.Equal(t, leader.core.Status().Term, term)
}

// Symptom: an isolated leader answers for hours from a past that has moved on.
// Check-quorum makes it step down within an election timeout or two.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	s := newTestCluster(t)
	leader := leaderOf(t, s)
	for range 25 {
		leader.core.Tick()
		leader.core.Ready()
	}
	assert.Assert(t, leader.core.Status().Role != quorum.Leader)
}

// Symptom: a committed record is gone after a disk was lost. Sequence: a
// replica that acknowledged a record loses its disk and votes again under its
// name; with it a majority forms that never saw the record. Cause: identity by
// name. A new disk draws a new identity, and nothing sent to the old one or by
// a stranger counts.
func TestReplicaWithNewIdentityHasNoVote(t *testing.T) {
	s := newTestCluster(t)
	leader := leaderOf(t, s)
	unknown := quorum.New(quorum.Options{ID: 99, ElectionTicks: 10, HeartbeatTicks: 2, Random: func(int) int { return 0 }},
		quorum.DurableState{Snapshot: &wire.Snapshot{Membership: &wire.Membership{ClusterId: 9}}})
	for range 100 {
		unknown.Tick()
	}
	assert.Equal(t, len(unknown.Ready().Messages), 0, "a replica that isn't a voter stands for election")
	unknown.Step(&wire.PeerMessage{
		Kind: wire.PeerMessageKind_PEER_MESSAGE_KIND_VOTE, From: 1, To: 2, Term: 50, ClusterId: 9,
	})
	assert.Equal(t, len(unknown.Ready().Messages), 0, "a message to the old identity is answered")
	_, confirmed := leader.core.Status().Round, leader.core.Status().ConfirmedRound
	leader.core.Heartbeat()
	leader.core.Step(&wire.PeerMessage{
		Kind: wire.PeerMessageKind_PEER_MESSAGE_KIND_APPEND_ANSWER, From: 99, To: leader.id,
		Term: leader.core.Status().Term, Round: leader.core.Status().Round, Index: 1000, ClusterId: 9,
	})
	assert.Equal(t, leader.core.Status().ConfirmedRound, confirmed, "a stranger's answer counts")
}

// answer makes the acknowledgement of a follower.
func appendAck(from uint64, leader *quorum.Core, index uint64) *wire.PeerMessage {
	return &wire.PeerMessage{
		Kind: wire.PeerMessageKind_PEER_MESSAGE_KIND_APPEND_ANSWER, From: from, To: 1,
		Term: leader.Status().Term, Index: index, ClusterId: 9,
	}
}

// lead makes replica 1 of three the leader, with the given records on disk.
func electLeader(t *testing.T, records []*wire.LogRecord) *quorum.Core {
	t.Helper()
	membership := &wire.Membership{ClusterId: 9}
	for id := uint64(1); id <= 3; id++ {
		membership.Members = append(membership.Members, &wire.ControlMember{ReplicaId: id, Voter: true})
	}
	c := quorum.New(quorum.Options{ID: 1, ElectionTicks: 10, HeartbeatTicks: 2, Random: func(int) int { return 0 }},
		quorum.DurableState{Vote: &wire.Vote{Term: 1}, Snapshot: &wire.Snapshot{Membership: membership}, Entries: records})
	for range 10 {
		c.Tick()
	}
	for _, kind := range []wire.PeerMessageKind{
		wire.PeerMessageKind_PEER_MESSAGE_KIND_PRE_VOTE_ANSWER, wire.PeerMessageKind_PEER_MESSAGE_KIND_VOTE_ANSWER,
	} {
		c.Step(&wire.PeerMessage{Kind: kind, From: 2, To: 1, Term: 2, ClusterId: 9})
	}
	assert.Equal(t, c.Status().Role, quorum.Leader)
	return c
}

// Symptom: an acknowledged change is gone after one replica crashed. Sequence:
// the leader counts itself among the holders before its own sync is done, and
// crashes. Only Synced may make its copy count.
func TestLeaderCountsItselfOnlyAfterSync(t *testing.T) {
	c := electLeader(t, nil)
	out := c.Ready()
	c.Step(appendAck(2, c, 1))
	assert.Equal(t, c.Status().Commit, uint64(0))
	c.Synced(out)
	assert.Equal(t, c.Status().Commit, uint64(1))
}

// Symptom: a record that a follower has acknowledged, and the leader committed, is
// gone there. Sequence: a snapshot is sent and is late; appends from another message
// fill the same gap and go beyond; then the snapshot arrives. Cause: it replaced
// all records, those behind it too.
func TestStaleSnapshotKeepsLaterEntries(t *testing.T) {
	membership := &wire.Membership{ClusterId: 9, Members: []*wire.ControlMember{{ReplicaId: 1, Voter: true}, {ReplicaId: 2, Voter: true}}}
	c := quorum.New(quorum.Options{ID: 1, ElectionTicks: 10, HeartbeatTicks: 2, Random: func(int) int { return 0 }},
		quorum.DurableState{Vote: &wire.Vote{Term: 1}, Snapshot: &wire.Snapshot{Membership: membership}})
	fromLeader := func(m *wire.PeerMessage) *wire.PeerMessage {
		m.From, m.To, m.Term, m.ClusterId = 2, 1, 1, 9
		return m
	}
	c.Step(fromLeader(&wire.PeerMessage{Kind: wire.PeerMessageKind_PEER_MESSAGE_KIND_APPEND, Records: []*wire.LogRecord{
		{Index: 1, Term: 1}, {Index: 2, Term: 1}, {Index: 3, Term: 1},
	}}))
	c.Synced(c.Ready())
	c.Step(fromLeader(&wire.PeerMessage{
		Kind: wire.PeerMessageKind_PEER_MESSAGE_KIND_SNAPSHOT, Snapshot: &wire.Snapshot{Index: 2, Term: 1, Membership: membership},
	}))
	assert.Equal(t, c.Status().LastIndex, uint64(3))
	assert.Equal(t, c.Status().Commit, uint64(2))
	assert.Assert(t, c.Ready().Snapshot == nil)
	assert.Equal(t, len(c.NextCommittedEntries()), 2)
}

// Symptom: a record that was committed is replaced (figure 8 of the Raft
// paper). Sequence: a new leader finds a record of an old term on a majority
// and calls it committed; another leader, elected with a later record, removes
// it. Cause: only a record of the leader's own term may be counted.
func TestEntryOfOldTermIsNotCommittedByCounting(t *testing.T) {
	c := electLeader(t, []*wire.LogRecord{{Index: 1, Term: 1}})
	c.Synced(c.Ready())
	c.Step(appendAck(2, c, 1))
	assert.Equal(t, c.Status().Commit, uint64(0))
	c.Step(appendAck(2, c, 2))
	assert.Equal(t, c.Status().Commit, uint64(2))
}

// entryBytes is the size of the records in the messages to one replica.
func entryBytes(messages []*wire.PeerMessage, to uint64) int {
	size := 0
	for _, m := range messages {
		if m.To != to {
			continue
		}
		for _, r := range m.Records {
			size += proto.Size(r)
		}
	}
	return size
}

func largeCommand() *wire.Command {
	return &wire.Command{Body: &wire.Command_Quarantine{Quarantine: &wire.Quarantine{Reason: strings.Repeat("x", 40<<10)}}}
}

// Symptom: a leader's memory grows by hundreds of megabytes within seconds and
// the links are full, after a follower missed a moment. Sequence: one append is
// lost; each of those behind it is refused, and each refusal has all records
// since sent again. Cause: refusals that were under way already counted like
// the first.
func TestRejectionsAfterOneLossResendOnce(t *testing.T) {
	c := electLeader(t, nil)
	c.Synced(c.Ready())
	c.Step(appendAck(2, c, 1))
	c.Step(appendAck(3, c, 1))
	c.Ready()
	const lost = 50
	for range lost {
		c.Propose([]*wire.Command{largeCommand()})
		c.Synced(c.Ready())
	}
	resent := 0
	for i := range uint64(lost - 1) {
		refusal := appendAck(2, c, 1)
		refusal.Reject, refusal.AskedIndex = true, i+2
		c.Step(refusal)
		resent += entryBytes(c.Ready().Appends, 2)
	}
	accepted := appendAck(2, c, 1)
	accepted.AskedIndex = 1
	c.Step(accepted)
	resent += entryBytes(c.Ready().Appends, 2)
	assert.Assert(t, resent > 0, "nothing was sent again")
	assert.Assert(t, resent < 2*lost*(41<<10), "%d bytes were sent again for %d bytes lost", resent, lost*(40<<10))
}

// Symptom: as above, while a follower is cut off and answers nothing. Cause: no
// bound on the bytes that are under way to it.
func TestInflightBytesAreBounded(t *testing.T) {
	c := electLeader(t, nil)
	c.Synced(c.Ready())
	c.Step(appendAck(2, c, 1))
	c.Ready()
	sent := 0
	for i := range uint64(1000) {
		c.Propose([]*wire.Command{largeCommand()})
		out := c.Ready()
		c.Synced(out)
		sent += entryBytes(out.Appends, 3)
		c.Step(appendAck(2, c, i+2))
		c.Ready()
	}
	assert.Assert(t, sent < 6<<20, "%d bytes are under way to a silent replica", sent)
	assert.Equal(t, c.Status().Commit, uint64(1001))
}

// Symptom: two leaders act at once, the older one by the right that a confirmed
// round gives for most of an election timeout. Sequence: a voter answers the
// leader's round, restarts at once, and gives its vote to another. Cause: with
// its memory it lost that it had just heard a leader.
func TestRestartedVoterGrantsNoVote(t *testing.T) {
	membership := &wire.Membership{ClusterId: 9}
	for id := uint64(1); id <= 3; id++ {
		membership.Members = append(membership.Members, &wire.ControlMember{ReplicaId: id, Voter: true})
	}
	restarted := quorum.New(quorum.Options{ID: 1, ElectionTicks: 10, HeartbeatTicks: 2, Random: func(int) int { return 9 }},
		quorum.DurableState{Vote: &wire.Vote{Term: 4}, Snapshot: &wire.Snapshot{Membership: membership}})
	granted := func() bool {
		restarted.Step(&wire.PeerMessage{Kind: wire.PeerMessageKind_PEER_MESSAGE_KIND_VOTE, From: 2, To: 1, Term: 5, ClusterId: 9})
		for _, m := range restarted.Ready().Messages {
			if !m.Reject {
				return true
			}
		}
		return false
	}
	assert.Assert(t, !granted())
	for range 9 {
		restarted.Tick()
	}
	assert.Assert(t, !granted())
	restarted.Tick()
	assert.Assert(t, granted())
}

func TestMembershipErrors(t *testing.T) {
	s := newTestCluster(t)
	leader := leaderOf(t, s)
	cases := []struct {
		name   string
		change func() error
		want   error
	}{
		{"promote a stranger", func() error { return leader.core.Promote(77) }, quorum.ErrUnknownMember},
		{"remove a stranger", func() error { return leader.core.Remove(77) }, quorum.ErrUnknownMember},
		{"second change at once", func() error {
			if err := leader.core.AddLearner(&wire.ControlMember{ReplicaId: 50}); err != nil {
				return err
			}
			return leader.core.AddLearner(&wire.ControlMember{ReplicaId: 51})
		}, quorum.ErrChangePending},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.ErrorIs(t, c.change(), c.want) })
	}
	for id, r := range s.replicas {
		if r != leader {
			assert.ErrorIs(t, r.core.Remove(id), quorum.ErrNotLeader)
		}
	}
}

func ExampleRole() {
	fmt.Println(quorum.Leader)
	// Output: leader
}
