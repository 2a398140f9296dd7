// This file tests the messages that don't wait for the disk.

package quorum_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/quorum"
)

func newVoter(random func(int) int) *quorum.Core {
	members := []*wire.ControlMember{{ReplicaId: 1, Voter: true}, {ReplicaId: 2, Voter: true}, {ReplicaId: 3, Voter: true}}
	return quorum.New(quorum.Options{ID: 2, ElectionTicks: 10, HeartbeatTicks: 2, Random: random}, quorum.DurableState{
		Snapshot: &wire.Snapshot{Membership: &wire.Membership{ClusterId: 9, Members: members}},
	})
}

func appendFromLeader(round uint64, records ...*wire.LogRecord) *wire.PeerMessage {
	return &wire.PeerMessage{
		Kind: wire.PeerMessageKind_PEER_MESSAGE_KIND_APPEND, From: 1, To: 2, ClusterId: 9, Term: 1, Round: round, Records: records,
	}
}

// Guards against a leader that loses its lease because its voters' disks are slow, and against
// rounds that are confirmed before the term is on disk.
func TestRoundsAreConfirmedDuringSync(t *testing.T) {
	c := newVoter(func(int) int { return 0 })
	c.Step(appendFromLeader(1))
	assert.Equal(t, len(c.NextPrompt()), 0, "the term isn't on disk")
	c.Synced(c.Ready())

	c.Step(appendFromLeader(2, &wire.LogRecord{Index: 1, Term: 1}))
	syncing := c.Ready()
	assert.Equal(t, len(syncing.Entries), 1)
	prompt := c.NextPrompt()
	assert.Equal(t, len(prompt), 1)
	assert.Equal(t, prompt[0].Kind, wire.PeerMessageKind_PEER_MESSAGE_KIND_ROUND_ANSWER)
	assert.Equal(t, prompt[0].Round, uint64(2))
	for round := uint64(3); round < 6; round++ {
		for range 3 {
			c.Step(appendFromLeader(round))
		}
		assert.Equal(t, len(c.NextPrompt()), 1, "each round is confirmed once")
	}
	c.Synced(syncing)
	c.Step(appendFromLeader(6))
	assert.Equal(t, len(c.NextPrompt()), 0, "the answer to the append needn't wait")
}
