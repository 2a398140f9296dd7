// This file tests replicas on a disk of limited size, which others fill as well.

package node_test

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/node"
	"sycamoredeck.example/internal/store/state"
	"sycamoredeck.example/internal/store/walog"
)

const (
	megabyte     = 1 << 20
	catalogBytes = 1 * megabyte
)

// sharedDisk is a disk of limited size that holds the folder of a replica and the data of others.
// Overwriting allocated parts of a file takes no room.
type sharedDisk struct{ size, others atomic.Int64 }

// free returns the room left beside the files of a folder.
func (d *sharedDisk) free(folder string) (int64, error) {
	files, err := os.ReadDir(folder)
	used := d.others.Load()
	for _, f := range files {
		if info, err := f.Info(); err == nil {
			used += info.Size()
		}
	}
	return max(d.size.Load()-used, 0), err
}

// write is a write that is done in part and fails if it doesn't fit.
func (d *sharedDisk) write(file *os.File, data []byte) (int, error) {
	info, err := file.Stat()
	if err != nil {
		return 0, err
	}
	at, err := file.Seek(0, 1)
	if err != nil {
		return 0, err
	}
	free, err := d.free(filepath.Dir(file.Name()))
	if err != nil {
		return 0, err
	}
	fits := max(info.Size()-at, 0) + free
	if int64(len(data)) <= fits {
		return file.Write(data)
	}
	n, err := file.Write(data[:fits])
	if err != nil {
		return n, err
	}
	return n, syscall.ENOSPC
}

// fill leaves the given room on the disk.
func (d *sharedDisk) fill(t *testing.T, folder string, room int64) {
	t.Helper()
	free, err := d.free(folder)
	assert.NilError(t, err)
	d.others.Add(free - room)
}

func (d *sharedDisk) start(t *testing.T, folder string) *testReplica {
	t.Helper()
	return start(t, folder, walog.Options{Write: d.write, FreeBytes: d.free})
}

func putCatalog(version uint64, size int) *wire.Command {
	return &wire.Command{Body: &wire.Command_Work{Work: &wire.WorkCommand{
		Body: &wire.WorkCommand_PutCatalog{PutCatalog: &wire.Catalog{Version: version, Source: make([]byte, size)}},
	}}}
}

// commitSoon commits a command within half a minute.
func (r *testReplica) commitSoon(t *testing.T, c *wire.Command) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	_, err := r.node.Commit(ctx, c)
	assert.NilError(t, err)
}

// refresh waits until a replica has read the free space of its disk.
func (r *testReplica) refresh(t *testing.T) {
	t.Helper()
	r.log.RefreshRoom()
	assert.NilError(t, r.node.Do(context.Background(), func() {}))
	assert.NilError(t, r.node.Do(context.Background(), func() {}))
}

func closeDispatchCommand(i int) *wire.Command {
	d := openDispatchCommand(i).GetOpenDispatch()
	return &wire.Command{Body: &wire.Command_CloseDispatch{CloseDispatch: &wire.CloseDispatch{
		ClientAccount: d.ClientAccount, RequestId: d.RequestId, Nonce: d.Nonce,
	}}}
}

// end stops a replica that may be retrying a write.
func (r *testReplica) end(t *testing.T) {
	t.Helper()
	r.log.AbortRetries()
	r.stop(t)
}

// Guards against a disk that stays full because the snapshot that would free the log has no room.
func TestSnapshotIsWrittenOnFullDisk(t *testing.T) {
	const versions = 12
	folder, disk := t.TempDir(), &sharedDisk{}
	disk.size.Store(128 * megabyte)
	r := disk.start(t, folder)
	defer r.end(t)
	for v := range uint64(versions) {
		r.commitSoon(t, putCatalog(v+1, catalogBytes))
	}
	disk.fill(t, folder, megabyte/2)
	r.commitSoon(t, putCatalog(versions+1, catalogBytes))
}

// Guards against a replica that can't go on when it restarts on a full disk: its log can be freed only
// after its leader has written an entry.
func TestRestartOnFullDisk(t *testing.T) {
	const versions = 12
	folder, disk := t.TempDir(), &sharedDisk{}
	disk.size.Store(128 * megabyte)
	r := disk.start(t, folder)
	for v := range uint64(versions) {
		r.commitSoon(t, putCatalog(v+1, catalogBytes))
	}
	r.stop(t)
	disk.fill(t, folder, 0)
	r = disk.start(t, folder)
	defer r.end(t)
	r.commitSoon(t, putCatalog(versions+1, catalogBytes))
}

// Guards against changes that wait for room until their callers' time is over, and against work that was accepted and
// can't go on because changes have taken all room.
func TestChangesWithoutRoomAreRefused(t *testing.T) {
	folder, disk := t.TempDir(), &sharedDisk{}
	disk.size.Store(64 * megabyte)
	r := disk.start(t, folder)
	defer r.end(t)
	r.commitSoon(t, openDispatchCommand(1))
	disk.fill(t, folder, 3*megabyte)
	r.refresh(t)

	_, err := r.node.Commit(context.Background(), putCatalog(1, catalogBytes))
	var noRoom *node.NoRoomError
	assert.Assert(t, errors.As(err, &noRoom), "%v", err)
	assert.Assert(t, noRoom.RetryAfter > 0)
	r.commitSoon(t, closeDispatchCommand(1))

	disk.fill(t, folder, 32*megabyte)
	r.refresh(t)
	r.commitSoon(t, putCatalog(1, catalogBytes))
}

// Guards against memory that fills with the changes that wait for a disk.
func TestChangesWaitingForDiskAreBounded(t *testing.T) {
	const limit = 16 * megabyte
	var hangs atomic.Bool
	release := make(chan struct{})
	r := start(t, t.TempDir(), walog.Options{Sync: func(f *os.File) error {
		if hangs.Load() {
			<-release
		}
		return f.Sync()
	}})
	defer r.stop(t)
	hangs.Store(true)
	accepted := 0
	results := make(chan error, 64)
	for v := range uint64(40) {
		refused := false
		assert.NilError(t, r.node.Do(context.Background(), func() {
			r.node.Propose(putCatalog(v+1, catalogBytes), func(_ state.Result, err error) {
				refused = err != nil
				results <- err
			})
		}))
		if !refused {
			accepted += catalogBytes
		}
	}
	assert.Assert(t, accepted > 0 && accepted <= limit, "%d MB wait", accepted>>20)
	hangs.Store(false)
	close(release)
}
