// This file defines how a replica deals with a disk that has little room.

package node

import (
	"fmt"
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/schema/wire"
)

const (
	// roomInterval is how often the free space of the disk is read, as others use it too.
	roomInterval = time.Second
	// progressRoom is the room that is left to work that was accepted before.
	progressRoom = 4 << 20
	// sizesOnDisk is the room that a change takes, in sizes of it: its log entry, and the growth of the
	// reserve for the next snapshot.
	sizesOnDisk = 2
	// lowRoomShare is the share of the capacity below which an operator is warned.
	lowRoomShare = 4
	// roomSnapshotShare is the least size of the entries that a snapshot for lack of room frees, as a
	// share of the last snapshot, and roomSnapshotInterval the least time between two others.
	roomSnapshotShare    = 4
	roomSnapshotInterval = time.Second
	// compactionRetry is when to repeat a refused change if entries are being written or a snapshot
	// will free some of the log, fullDiskRetry when nothing frees room by itself.
	compactionRetry = time.Second
	fullDiskRetry   = 10 * time.Second
)

var (
	refusedForRoom    = metrics.NewCounter(`sycamoredeck_changes_refused_total{reason="room"}`)
	refusedForPending = metrics.NewCounter(`sycamoredeck_changes_refused_total{reason="pending"}`)
	segmentBytesGauge = metrics.NewGauge("sycamoredeck_log_bytes", nil)
	snapshotGauge     = metrics.NewGauge("sycamoredeck_log_snapshot_bytes", nil)
	roomGauge         = metrics.NewGauge("sycamoredeck_log_room_bytes", nil)
	capacityGauge     = metrics.NewGauge("sycamoredeck_log_capacity_bytes", nil)
	snapshotAgeGauge  = metrics.NewGauge("sycamoredeck_log_snapshot_age_seconds", nil)
	changesTotal      = metrics.NewCounter("sycamoredeck_log_changes_total")
	changeBytesTotal  = metrics.NewCounter("sycamoredeck_log_change_bytes_total")
)

type (
	// NoRoomError is returned for a change that was refused, and not proposed, because the replicas have
	// no room for it.
	NoRoomError struct {
		Reason string
		// RetryAfter is when the change may be proposed again.
		RetryAfter time.Duration
	}

	// roomState is what the event loop knows of the disk. The zero value is ready to use.
	roomState struct {
		refreshedAt time.Duration
		refreshing  bool
		// warned is set while the warning of little room holds, refusing from the first
		// refusal of a change to the next one that is accepted.
		warned, refusing bool
		// pendingBytes is the size of the proposed changes that aren't applied.
		pendingBytes int
		// changeBytes is the size of the changes applied since the last snapshot that add to the
		// state, and baseBytes that snapshot without the configuration.
		changeBytes, baseBytes uint64
		// snapshotAt is when the last snapshot was taken.
		snapshotAt time.Duration
	}
)

// Error returns the reason for the caller.
func (e *NoRoomError) Error() string { return "node: no room for the change: " + e.Reason }

var _ error = (*NoRoomError)(nil)

// isChange reports whether a command is a caller's new work or configuration, which may be refused. Other
// commands are the progress of what was accepted.
func isChange(c *wire.Command) bool {
	switch body := c.GetBody().(type) {
	case *wire.Command_ApplyConfiguration, *wire.Command_SubmitJob, *wire.Command_OpenDispatch:
		return true
	case *wire.Command_Work:
		switch body.Work.GetBody().(type) {
		case *wire.WorkCommand_PutCatalog, *wire.WorkCommand_Submit:
			return true
		}
	}
	return false
}

// replacesState reports whether a change replaces what the state has, as counted by
// state.Machine.ConfigurationBytes.
func replacesState(c *wire.Command) bool {
	_, isCatalog := c.GetWork().GetBody().(*wire.WorkCommand_PutCatalog)
	return isCatalog || c.GetApplyConfiguration() != nil
}

// checkRoom returns an error if a change of the given size must be refused: there is no room for it on
// the disks of a majority, or too many bytes are waiting to be written.
func (n *Node) checkRoom(size int) error {
	if pending := n.room.pendingBytes; pending > 0 && uint64(pending+size) > n.options.SnapshotBytes {
		refusedForPending.Inc()
		return &NoRoomError{Reason: fmt.Sprintf("%d KB of changes are waiting to be written", pending>>10), RetryAfter: compactionRetry}
	}
	room, needed := n.core.Room(), int64(sizesOnDisk*(n.room.pendingBytes+size)+progressRoom)
	if room >= needed {
		n.room.refusing = false
		return nil
	}
	refusedForRoom.Inc()
	retry := fullDiskRetry
	if n.savingSnapshot {
		retry = compactionRetry
	}
	err := &NoRoomError{Reason: fmt.Sprintf("the disks of too many control replicas are full: %d KB are needed, %d KB are left", needed>>10, room>>10), RetryAfter: retry}
	if !n.room.refusing {
		n.room.refusing = true
		n.options.Logger.Warn("changes are refused for lack of room", "change_kb", size>>10, "needed_kb", needed>>10, "room_kb", room>>10,
			"own_room_kb", n.log.Room()>>10, "log_kb", n.log.SegmentBytes()>>10, "retry_after_ms", err.RetryAfter.Milliseconds())
	}
	return err
}

// updateRoom tells the replicated log how much room there is, counting what a snapshot would free. If
// the retries of a write keep a vote from being written, it ends them.
func (n *Node) updateRoom() {
	room := n.log.Room()
	if room != math.MaxInt64 && n.log.Reserved() {
		room += n.log.SegmentBytes()
	}
	n.core.SetRoom(room)
	n.reserve.Store(n.snapshotReserve())
	if n.persisting && n.log.Full() && n.core.VotePending() {
		n.log.Interrupt()
	}
	if now := n.iterationBootTime; !n.room.refreshing && now-n.room.refreshedAt >= roomInterval {
		n.room.refreshing, n.room.refreshedAt = true, now
		n.writers.Go(func() {
			n.log.RefreshRoom()
			n.Post(func() { n.room.refreshing = false })
		})
		n.reportRoom()
	}
}

// reportRoom sets the gauges of the disk, and logs when room gets low.
func (n *Node) reportRoom() {
	room, log, snapshot := n.log.Room(), n.log.SegmentBytes(), n.log.SnapshotBytes()
	age := n.iterationBootTime - n.room.snapshotAt
	segmentBytesGauge.Set(float64(log))
	snapshotGauge.Set(float64(snapshot))
	snapshotAgeGauge.Set(age.Seconds())
	capacity := n.log.Capacity()
	if capacity == math.MaxInt64 && !n.log.Full() {
		return
	}
	roomGauge.Set(float64(room))
	capacityGauge.Set(float64(capacity))
	low := room < capacity/lowRoomShare
	if low == n.room.warned {
		return
	}
	n.room.warned = low
	message, report := "disk has room again", n.options.Logger.Info
	if low {
		message, report = "disk is filling up", n.options.Logger.Warn
	}
	report(message, "room_mb", room>>20, "capacity_mb", capacity>>20, "log_mb", log>>20, "snapshot_mb", snapshot>>20,
		"since_snapshot_s", int(age.Seconds()), "reserved", n.log.Reserved())
}

// lacksRoom reports whether a snapshot is due because the disk has less room than it would free.
func (n *Node) lacksRoom() bool {
	room := n.log.Room()
	if n.appliedBytes == 0 || room == math.MaxInt64 || int64(n.appliedBytes) < room {
		return false
	}
	return n.appliedBytes >= n.snapshotBytes/roomSnapshotShare || n.iterationBootTime-n.room.snapshotAt >= roomSnapshotInterval
}

// snapshotReserve returns the size that the next snapshot may have.
func (n *Node) snapshotReserve() int64 {
	return int64(n.room.baseBytes+n.room.changeBytes) + int64(n.machine.ConfigurationBytes())
}

// countSnapshot records a snapshot of the given size as the last one.
func (n *Node) countSnapshot(size int) {
	n.appliedBytes, n.snapshotBytes = 0, uint64(size)
	n.room.changeBytes, n.room.baseBytes = 0, uint64(max(size-n.machine.ConfigurationBytes(), 0))
	n.room.snapshotAt = n.options.BootTime()
}

// countApplied records an applied entry of the given size.
func (n *Node) countApplied(r *wire.LogRecord, size int) {
	n.appliedBytes += uint64(size)
	if !isChange(r.Command) {
		return
	}
	changesTotal.Inc()
	changeBytesTotal.Add(size)
	if !replacesState(r.Command) {
		n.room.changeBytes += uint64(size)
	}
}

// admit refuses a change for which there is no room. Otherwise it returns the function to call once the
// change is applied or has failed.
func (n *Node) admit(c *wire.Command) (release func(), err error) {
	if !isChange(c) {
		return func() {}, nil
	}
	size := proto.Size(c)
	if err := n.checkRoom(size); err != nil {
		return nil, err
	}
	n.room.pendingBytes += size
	return func() { n.room.pendingBytes -= size }, nil
}
