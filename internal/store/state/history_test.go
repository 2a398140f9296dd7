// This file tests how many versions of the configuration are kept.

package state_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/state"
)

// Guards against a history of large configurations that fills memory and each snapshot.
func TestHistoryIsBoundedInBytes(t *testing.T) {
	const (
		versionBytes = 1 << 20
		versions     = 40
		maxSnapshot  = 8 << 20
	)
	m := state.New(state.Options{})
	for v := range uint64(versions) {
		c := &wire.Configuration{ClientAccounts: []*wire.ClientAccount{{Name: strings.Repeat("a", versionBytes)}}}
		result := m.Apply(applyConfiguration(fmt.Sprint("op-", v), v, c))
		assert.NilError(t, result.Err)
	}
	snapshot, err := m.Save()
	assert.NilError(t, err)
	assert.Assert(t, len(snapshot) <= maxSnapshot, "%d MB", len(snapshot)>>20)
	assert.Equal(t, m.Configuration().Version, uint64(versions))
	assert.Assert(t, len(m.History(versions)) > 1)

	loaded := state.New(state.Options{})
	assert.NilError(t, loaded.Load(snapshot))
	assert.Equal(t, loaded.ConfigurationBytes(), m.ConfigurationBytes())
}
