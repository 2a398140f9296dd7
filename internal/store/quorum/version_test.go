// This file tests what a leader knows of the rules that its members know.

package quorum

import (
	"testing"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

// Guards against rules that a leader changes before all members know them, so that replicas diverge.
func TestStateVersionOfMembers(t *testing.T) {
	c := New(Options{ID: 1, HeartbeatTicks: 2, ElectionTicks: 20, Random: func(int) int { return 0 }, StateVersion: 3}, DurableState{Snapshot: threeVoters()})
	c.role, c.term, c.peers = Leader, 1, map[uint64]*progress{2: {}, 3: {}}
	answer := func(from uint64, version uint32) {
		c.Step(&wire.PeerMessage{
			Kind: wire.PeerMessageKind_PEER_MESSAGE_KIND_APPEND_ANSWER, From: from, To: 1, ClusterId: 9, Term: 1, StateVersion: version,
		})
	}
	assert.Equal(t, c.StateVersion(), uint32(0))
	answer(2, 3)
	assert.Equal(t, c.StateVersion(), uint32(0), "member 3 hasn't answered")
	answer(3, 0)
	assert.Equal(t, c.StateVersion(), uint32(0), "member 3 has an earlier release")
	answer(3, 2)
	assert.Equal(t, c.StateVersion(), uint32(2))
	answer(3, 9)
	assert.Equal(t, c.StateVersion(), uint32(3), "this replica knows no more")
	t.Run("learner", func(t *testing.T) {
		c.membership.Members = append(c.membership.Members, &wire.ControlMember{ReplicaId: 4})
		assert.Equal(t, c.StateVersion(), uint32(0))
		c.peers[4] = &progress{stateVersion: 3}
		assert.Equal(t, c.StateVersion(), uint32(3))
	})
	t.Run("in answers", func(t *testing.T) {
		follower := New(Options{ID: 1, HeartbeatTicks: 2, ElectionTicks: 20, Random: func(int) int { return 0 }, StateVersion: 3}, DurableState{Snapshot: threeVoters()})
		follower.Step(appendFrom(2, 5, nil))
		for _, m := range follower.Ready().Messages {
			assert.Equal(t, m.StateVersion, uint32(3))
		}
	})
}
