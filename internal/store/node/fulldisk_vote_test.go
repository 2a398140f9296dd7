// This file tests votes of a replica whose disk is full.

package node_test

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/node"
	"sycamoredeck.example/internal/store/state"
	"sycamoredeck.example/internal/store/walog"
)

// startFollower starts replica 1 of three. What it sends arrives at sent.
func startFollower(t *testing.T, folder string, disk *sharedDisk, sent chan<- *wire.PeerMessage) *testReplica {
	t.Helper()
	log, durable, err := walog.Open(folder, walog.Options{Write: disk.write, FreeBytes: disk.free})
	assert.NilError(t, err)
	assert.NilError(t, log.SaveVote(&wire.Vote{ReplicaId: 1}))
	durable.Snapshot = &wire.Snapshot{Membership: &wire.Membership{ClusterId: 9, Members: []*wire.ControlMember{
		{ReplicaId: 1, Voter: true}, {ReplicaId: 2, Voter: true}, {ReplicaId: 3, Voter: true},
	}}}
	assert.NilError(t, log.WriteSnapshot(durable.Snapshot))
	r := &testReplica{log: log, failed: make(chan error, 1)}
	r.node, err = node.New(node.Options{
		ID: 1, HeartbeatInterval: 10 * time.Millisecond, ElectionTimeout: 50 * time.Millisecond,
		SnapshotThreshold: 20000, Clock: clockwork.NewRealClock(), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Send: func(_ *wire.ControlMember, messages []*wire.PeerMessage) {
			for _, m := range messages {
				select {
				case sent <- m:
				default:
				}
			}
		},
		Lookup:        func(uint64) *wire.ControlMember { return nil },
		OnDiskFailure: func(err error) { r.failed <- err },
	}, log, durable, state.New(state.Options{}))
	assert.NilError(t, err)
	go r.node.Run()
	return r
}

// Guards against an election that finds no majority while disks are full: a vote of some bytes waits behind
// entries for which there is no room, and an acknowledgement of these must not be sent with it.
func TestReplicaVotesOnFullDisk(t *testing.T) {
	folder, disk := t.TempDir(), &sharedDisk{}
	disk.size.Store(64 * megabyte)
	sent := make(chan *wire.PeerMessage, 10000)
	r := startFollower(t, folder, disk, sent)
	defer r.end(t)
	disk.fill(t, folder, 0)
	const term = 1000 // beyond the replica's own candidacies
	r.node.Step([]*wire.PeerMessage{{
		Kind: wire.PeerMessageKind_PEER_MESSAGE_KIND_APPEND, From: 2, To: 1, ClusterId: 9, Term: term,
		Records: []*wire.LogRecord{{Index: 1, Term: term, Command: putCatalog(1, catalogBytes)}},
	}})
	end := time.After(30 * time.Second)
	for granted := false; !granted; {
		select {
		case m := <-sent:
			acknowledged := m.Kind == wire.PeerMessageKind_PEER_MESSAGE_KIND_APPEND_ANSWER && !m.Reject && m.Index > 0
			assert.Assert(t, !acknowledged, "entries were acknowledged that aren't on disk")
			granted = m.Kind == wire.PeerMessageKind_PEER_MESSAGE_KIND_VOTE_ANSWER && m.Term == 2*term && !m.Reject
		case <-time.After(20 * time.Millisecond):
			r.node.Step([]*wire.PeerMessage{{
				Kind: wire.PeerMessageKind_PEER_MESSAGE_KIND_VOTE, From: 3, To: 1, ClusterId: 9, Term: 2 * term,
				Index: 1, LogTerm: term, Handover: true,
			}})
		case <-end:
			t.Fatal("no vote was granted")
		}
	}
}
