// This file tests configuration changes and the replicated log.

package itest

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

// watchVersions polls the version in force at each entry until the returned function is
// called, which asserts that no version ever decreased.
func (c *cluster) watchVersions() func() {
	seen := map[string]uint64{}
	var reverted []string
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-quit:
				return
			case <-time.After(pollInterval):
			}
			for _, e := range c.status().GetEntries() {
				if e.ConfigurationVersion < seen[e.EntryId] {
					reverted = append(reverted, fmt.Sprintf("%s: %d after %d", e.EntryId, e.ConfigurationVersion, seen[e.EntryId]))
				}
				seen[e.EntryId] = max(seen[e.EntryId], e.ConfigurationVersion)
			}
		}
	}()
	return func() {
		close(quit)
		<-done
		assert.Equal(c.t, len(reverted), 0, "%v", reverted)
	}
}

// applyNext applies the next version and retries until it is acknowledged.
func (c *cluster) applyNext(entry string, version uint64) {
	c.t.Helper()
	c.waitFor(fmt.Sprintf("version %d is accepted", version), func() bool {
		r, err := c.apply(entry, fmt.Sprintf("op-%d", version), version-1, float64(version))
		if err != nil {
			return false
		}
		assert.Equal(c.t, r.Outcome, wire.ApplyOutcome_APPLY_OUTCOME_APPLIED, "version %d", version)
		assert.Equal(c.t, r.Current.Version, version)
		return true
	})
}

// Guards against losing an accepted change, or reverting an entry to an older one, when the
// leader is killed or isolated: changes must be synced by a quorum before they are
// acknowledged, and entries must not take a configuration from a replica that lags behind.
func TestConfigurationNeverReverts(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.configure()
	stopWatching := c.watchVersions()
	version := uint64(1)
	next := func(count int) {
		for range count {
			version++
			c.applyNext(c.entries[version%2], version)
		}
	}
	next(5)
	killed := c.leader()
	c.kill(killed)
	next(5)
	c.restart(killed)
	next(5)
	isolated := c.leader()
	c.mesh.isolate(isolated, append(c.controls, c.entries...)...)
	next(5)
	c.mesh.heal()
	next(5)
	stopWatching()
	c.waitFor("the last version is in force everywhere", func() bool {
		entries := c.status().GetEntries()
		for _, e := range entries {
			if e.ConfigurationVersion != version {
				return false
			}
		}
		return len(entries) == len(c.entries)
	})
}

// Guards against an entry that starts with an outdated configuration from an isolated
// leader: the first one must be confirmed by a quorum.
func TestNewEntryLoadsLatestConfiguration(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.configure()
	stale := c.leader()
	c.kill("entry-1")
	c.mesh.isolate(stale, "control-0", "control-1", "control-2", "entry-0")
	t.Run("an unconfirmed leader returns none", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := wire.NewControlServiceClient(c.connTo(stale)).FetchConfiguration(ctx, &wire.FetchConfigurationRequest{QuorumConfirmed: true})
		assert.Assert(t, err != nil)
	})
	c.applyNext("entry-0", 2)
	// The new entry reaches the isolated leader, which still considers itself leader.
	c.restart("entry-1")
	c.waitFor("the new entry has a configuration", func() bool {
		r, err := c.call("entry-1", "probe", true)
		return err == nil && r.Outcome == wire.Outcome_OUTCOME_NOT_RUN
	})
	for _, e := range c.status().GetEntries() {
		assert.Assert(t, e.ConfigurationVersion == 0 || e.ConfigurationVersion >= 2, "%s has version %d", e.EntryId, e.ConfigurationVersion)
	}
	c.mesh.heal()
}

// Guards against accepting two different contents for the same expected version.
func TestConcurrentConfigurationChanges(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.configure()
	for version := uint64(1); version <= 10; version++ {
		var group sync.WaitGroup
		outcomes := make([]*wire.ApplyConfigurationResponse, 4)
		for i := range outcomes {
			group.Go(func() {
				operation := fmt.Sprintf("race-%d-%d", version, i/2) // each is sent twice
				outcomes[i], _ = c.apply(c.entries[i%2], operation, version, float64(i/2+1))
			})
		}
		group.Wait()
		winners := map[string]bool{}
		for i, r := range outcomes {
			assert.Assert(t, r != nil, "operator %d has no answer", i)
			assert.Equal(t, r.Current.Version, version+1)
			winners[r.Current.OperationId] = true
			own := r.Current.OperationId == fmt.Sprintf("race-%d-%d", version, i/2)
			assert.Equal(t, r.Outcome == wire.ApplyOutcome_APPLY_OUTCOME_APPLIED, own, "wrong outcome for operator %d", i)
		}
		assert.Equal(t, len(winners), 1, "more than one winner: %v", winners)
	}
}

// Guards against an outdated state after all control processes were killed at once, with
// more changes than fit between two snapshots.
func TestRestartAfterHundredsOfChanges(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.configure()
	const last = 450
	for v := uint64(2); v <= last; v++ {
		c.applyNext("entry-0", v)
	}
	for _, n := range c.controls {
		c.signal(n, syscall.SIGKILL)
	}
	for _, n := range c.controls {
		c.wait(n)
		c.restart(n)
	}
	c.leader()
	assert.Equal(t, c.status().ConfigurationVersion, uint64(last))
	_, err := os.Stat(filepath.Join(c.folder, "control-0", "snapshot"))
	assert.NilError(t, err)
}

func (c *cluster) members() (*wire.ListControlMembersResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return wire.NewOperatorServiceClient(c.connTo(c.entries[0])).ListControlMembers(ctx, &wire.ListControlMembersRequest{})
}

// Guards against losing committed changes when a replica loses its disk, is replaced under
// the same name, and a second replica is lost: the empty replica must not vote under the
// old identity.
func TestReplicaLossAfterDiskReplacement(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.configure()
	for v := uint64(2); v <= 250; v++ {
		c.applyNext("entry-0", v)
	}
	before, err := c.members()
	assert.NilError(t, err)
	lost := before.Members[0]
	c.kill(lost.Name)
	assert.NilError(t, os.RemoveAll(filepath.Join(c.folder, lost.Name)))
	c.restart(lost.Name)
	c.waitFor("the empty replica waits for admission", func() bool {
		r, err := c.members()
		return err == nil && len(r.Waiting) == 1 && r.Waiting[0].Name == lost.Name
	})
	ctx, cancel := c.context()
	defer cancel()
	changed, err := wire.NewOperatorServiceClient(c.connTo("entry-0")).ChangeControlMember(ctx, &wire.ChangeControlMemberRequest{
		AddName: lost.Name, RemoveReplicaId: lost.ReplicaId,
	})
	assert.NilError(t, err)
	assert.Equal(t, len(changed.Members), 3)
	for _, m := range changed.Members {
		assert.Assert(t, m.Voter && m.ReplicaId != lost.ReplicaId)
	}
	c.kill(before.Members[1].Name)
	c.applyNext("entry-0", 251)
	assert.Equal(t, c.status().ConfigurationVersion, uint64(251))
}

// Checks that an invalid configuration is refused with the path of the invalid field.
func TestInvalidConfigurationIsRefused(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.configure()
	bad := testConfiguration(1)
	bad.JobKinds[1].ClientAccount = "nobody"
	ctx, cancel := c.context()
	defer cancel()
	_, err := wire.NewOperatorServiceClient(c.connTo("entry-0")).ApplyConfiguration(ctx, &wire.ApplyConfigurationRequest{
		OperationId: "bad", ExpectedVersion: 1, Configuration: bad,
	})
	assert.ErrorContains(t, err, `JobKinds[1].ClientAccount: "nobody" isn't among ClientAccounts`)
	assert.Equal(t, c.status().ConfigurationVersion, uint64(1))
}
