// This file tests what a replica does whose disk has no room for its log entries.

package quorum

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

func threeVoters() *wire.Snapshot {
	return &wire.Snapshot{Membership: &wire.Membership{ClusterId: 9, Members: []*wire.ControlMember{
		{ReplicaId: 1, Voter: true}, {ReplicaId: 2, Voter: true}, {ReplicaId: 3, Voter: true},
	}}}
}

func newTestCore() *Core {
	return New(Options{ID: 1, HeartbeatTicks: 2, ElectionTicks: 20, Random: func(int) int { return 0 }}, DurableState{Snapshot: threeVoters()})
}

func appendFrom(leader, term uint64, prev *wire.LogRecord, records ...*wire.LogRecord) *wire.PeerMessage {
	return &wire.PeerMessage{
		Kind: wire.PeerMessageKind_PEER_MESSAGE_KIND_APPEND, From: leader, To: 1, ClusterId: 9, Term: term,
		Index: prev.GetIndex(), LogTerm: prev.GetTerm(), Records: records,
	}
}

func acknowledged(messages []*wire.PeerMessage) uint64 {
	var index uint64
	for _, m := range messages {
		if m.Kind == wire.PeerMessageKind_PEER_MESSAGE_KIND_APPEND_ANSWER && !m.Reject {
			index = max(index, m.Index)
		}
	}
	return index
}

// Guards against entries that are acknowledged, or forgotten, although the disk had no room for them.
func TestInterruptedEntriesAreWrittenLater(t *testing.T) {
	c := newTestCore()
	c.Step(appendFrom(2, 5, nil, &wire.LogRecord{Index: 1, Term: 5}, &wire.LogRecord{Index: 2, Term: 5}))
	rd := c.Ready()
	assert.Equal(t, len(rd.Entries), 2)
	part := c.AppendInterrupted(rd)
	assert.Equal(t, acknowledged(part.Messages), uint64(0))
	c.Synced(part)
	assert.Equal(t, c.Status().Synced, uint64(0))

	c.Step(&wire.PeerMessage{
		Kind: wire.PeerMessageKind_PEER_MESSAGE_KIND_VOTE, From: 3, To: 1, ClusterId: 9, Term: 6,
		Index: 2, LogTerm: 5, Handover: true,
	})
	assert.Assert(t, c.VotePending())
	vote := c.ReadyWithoutEntries()
	assert.Equal(t, vote.Vote.VotedFor, uint64(3))
	assert.Equal(t, len(vote.Entries), 0)
	assert.Equal(t, acknowledged(vote.Messages), uint64(0))
	c.Synced(vote)
	assert.Equal(t, c.Status().Synced, uint64(0))

	rd = c.Ready()
	assert.Equal(t, len(rd.Entries), 2)
	assert.Equal(t, acknowledged(rd.Messages), uint64(2))
	c.Synced(rd)
	assert.Equal(t, c.Status().Synced, uint64(2))
}

// Guards against entries of an earlier leader that are written although another one has replaced them
// while the disk had no room.
func TestInterruptedEntriesMayBeReplaced(t *testing.T) {
	c := newTestCore()
	c.Step(appendFrom(2, 5, nil, &wire.LogRecord{Index: 1, Term: 5}))
	rd := c.Ready()
	c.Step(appendFrom(3, 6, nil, &wire.LogRecord{Index: 1, Term: 6}))
	c.Synced(c.AppendInterrupted(rd))
	rd = c.Ready()
	assert.Equal(t, len(rd.Entries), 1)
	assert.Equal(t, rd.Entries[0].Term, uint64(6))
}

// Guards against a leader that counts on room that a majority of the voters doesn't have.
func TestRoomOfMajority(t *testing.T) {
	cases := []struct {
		name      string
		own       int64
		others    [2]int64
		want      int64
		elsewhere bool
	}{
		{"unknown", math.MaxInt64, [2]int64{math.MaxInt64, math.MaxInt64}, math.MaxInt64, true},
		{"one full", 0, [2]int64{700, 500}, 500, true},
		{"two full", 900, [2]int64{0, 0}, 0, false},
		{"one unknown", 100, [2]int64{math.MaxInt64, 0}, 100, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestCore()
			c.becomeFollower(4, 0)
			c.campaign(Candidate, true, nil)
			c.becomeLeader()
			c.SetRoom(tc.own)
			for i, room := range tc.others {
				other := newTestCore()
				other.SetRoom(room)
				c.Step(&wire.PeerMessage{
					Kind: wire.PeerMessageKind_PEER_MESSAGE_KIND_ROUND_ANSWER, From: uint64(2 + i), To: 1, ClusterId: 9, Term: c.term, Room: other.room,
				})
			}
			assert.Equal(t, c.Room(), tc.want)
			assert.Equal(t, c.OthersHaveRoom(), tc.elsewhere)
		})
	}
}
