// This file tests when snapshots are taken.

package node_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/walog"
)

// Guards against a log that fills the disk with large entries, long before their number calls for a
// snapshot.
func TestLargeEntriesAreCompacted(t *testing.T) {
	const (
		catalogBytes = 1 << 20
		versions     = 120
		// maxFolder is what the settings promise: three times the log between snapshots, and
		// three snapshots.
		maxFolder = 3*(16<<20) + 3*catalogBytes
	)
	folder := t.TempDir()
	r := start(t, folder, walog.Options{})
	largest := int64(0)
	for v := range uint64(versions) {
		_, err := r.node.Commit(context.Background(), &wire.Command{Body: &wire.Command_Work{Work: &wire.WorkCommand{
			Body: &wire.WorkCommand_PutCatalog{PutCatalog: &wire.Catalog{Version: v + 1, Source: make([]byte, catalogBytes)}},
		}}})
		assert.NilError(t, err)
		largest = max(largest, folderSize(t, folder))
	}
	r.stop(t)
	assert.Assert(t, largest <= maxFolder, "%d MB on disk", largest>>20)

	r = start(t, folder, walog.Options{})
	defer r.stop(t)
	_, err := r.node.Commit(context.Background(), openDispatchCommand(1))
	assert.NilError(t, err)
}
