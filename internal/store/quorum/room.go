// This file defines what a replica does whose disk has no room, and what its leader knows of it.

package quorum

import (
	"math"

	"sycamoredeck.example/internal/schema/wire"
)

// SetRoom records how many bytes of log entries this replica can still write; math.MaxInt64 if that
// is unknown. Its answers to the leader tell it.
func (c *Core) SetRoom(bytes int64) {
	c.room = 0
	if bytes != math.MaxInt64 {
		c.room = uint64(bytes) + 1
	}
}

// Room returns the number of bytes of log entries for which a majority of voters has room, by their
// latest answers, and math.MaxInt64 if a majority may have any.
func (c *Core) Room() int64 {
	room := c.quorumValue(c.roomOf)
	return int64(min(room, math.MaxInt64))
}

// OthersHaveRoom reports whether another voter that answers may have room.
func (c *Core) OthersHaveRoom() bool {
	for _, m := range c.membership.GetMembers() {
		p := c.peers[m.ReplicaId]
		if m.Voter && m.ReplicaId != c.options.ID && p != nil && p.recentActive && c.roomOf(m.ReplicaId) > 0 {
			return true
		}
	}
	return false
}

func (c *Core) roomOf(id uint64) uint64 {
	room := c.room
	if id != c.options.ID {
		room = 0
		if p := c.peers[id]; p != nil {
			room = p.room
		}
	}
	if room == 0 {
		return math.MaxUint64
	}
	return room - 1
}

// AppendInterrupted is called in place of Synced if the entries of a Ready weren't written for lack of
// room, while its vote and snapshot are on disk. It returns the part of the Ready that can be
// completed. The entries and what acknowledges them are returned by a later Ready.
func (c *Core) AppendInterrupted(rd Ready) Ready {
	c.nextToPersist = max(min(c.nextToPersist, rd.Entries[0].Index), c.snapshot.Index+1)
	written, waiting := splitMessages(rd.Messages)
	c.messages = append(waiting, c.messages...)
	return Ready{Vote: rd.Vote, Snapshot: rd.Snapshot, Messages: written}
}

// ReadyWithoutEntries is Ready without log entries and what acknowledges them, for a disk that has no
// room for them.
func (c *Core) ReadyWithoutEntries() Ready {
	waiting, next := c.messages, c.nextToPersist
	c.messages, waiting = splitMessages(waiting)
	rd := c.Ready()
	c.messages, c.nextToPersist = waiting, next
	rd.Entries = nil
	c.syncing = rd.Vote != nil || rd.Snapshot != nil
	return rd
}

// VotePending reports whether there is something to write or to send that doesn't depend on the
// entries that aren't on disk: a vote, the request for one, or a snapshot of the leader.
func (c *Core) VotePending() bool {
	independent, _ := splitMessages(c.messages)
	return c.voteChanged || c.pendingSnapshot != nil || len(independent) > 0
}

// splitMessages separates the messages that acknowledge log entries from the others.
func splitMessages(messages []*wire.PeerMessage) (independent, acknowledging []*wire.PeerMessage) {
	for _, m := range messages {
		if m.Kind == wire.PeerMessageKind_PEER_MESSAGE_KIND_APPEND_ANSWER && !m.Reject {
			acknowledging = append(acknowledging, m)
		} else {
			independent = append(independent, m)
		}
	}
	return independent, acknowledging
}
