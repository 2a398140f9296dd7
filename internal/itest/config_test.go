// This file defines the proofs about configuration and the replicated log.

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

// watchVersions follows the version in force at every entry until the
// returned function is called, which asserts that none ever went back.
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
			case <-time.After(pollTime):
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

// applyNext applies one more version, resending as an operator does whose
// answers are lost.
func (c *cluster) applyNext(entry string, version uint64) {
	c.t.Helper()
	c.until(fmt.Sprintf("version %d is accepted", version), func() bool {
		r, err := c.apply(entry, fmt.Sprintf("op-%d", version), version-1, float64(version))
		if err != nil {
			return false
		}
		assert.Equal(c.t, r.Outcome, wire.ApplyOutcome_APPLY_OUTCOME_APPLIED, "version %d", version)
		assert.Equal(c.t, r.Current.Version, version)
		return true
	})
}

// Symptom: an operator's accepted change is gone, or an entry goes back to an
// older one. Sequence: changes are applied while the leader is killed, cut off
// from all others, and comes back with what it believed. Cause, where it
// fails: an answer before a quorum had synced, or an entry that takes its
// configuration from a replica that lags.
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
	c.until("the last version is in force everywhere", func() bool {
		entries := c.status().GetEntries()
		for _, e := range entries {
			if e.ConfigurationVersion != version {
				return false
			}
		}
		return len(entries) == len(c.entries)
	})
}

// Symptom: an entry that starts while the leader is cut off serves an old
// configuration. Its first one must be confirmed by a quorum.
func TestNewEntryStartsFromTheLatest(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.configure()
	stale := c.leader()
	c.kill("entry-1")
	c.mesh.isolate(stale, "control-0", "control-1", "control-2", "entry-0")
	t.Run("an unconfirmed leader gives none", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := wire.NewControlServiceClient(c.at(stale)).FetchConfiguration(ctx, &wire.FetchConfigurationRequest{QuorumConfirmed: true})
		assert.Assert(t, err != nil)
	})
	c.applyNext("entry-0", 2)
	// The new entry reaches the old leader, which believes that it leads.
	c.restart("entry-1")
	c.until("the new entry has a configuration", func() bool {
		r, err := c.call("entry-1", "probe", true)
		return err == nil && r.Outcome == wire.Outcome_OUTCOME_NOT_RUN
	})
	for _, e := range c.status().GetEntries() {
		assert.Assert(t, e.ConfigurationVersion == 0 || e.ConfigurationVersion >= 2, "%s has version %d", e.EntryId, e.ConfigurationVersion)
	}
	c.mesh.heal()
}

// Symptom: two operators apply different contents with the same expected
// version and both are told that it was accepted.
func TestOperatorsRace(t *testing.T) {
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
			assert.Equal(t, r.Outcome == wire.ApplyOutcome_APPLY_OUTCOME_APPLIED, own, "operator %d is told wrongly", i)
		}
		assert.Equal(t, len(winners), 1, "more than one winner: %v", winners)
	}
}

// Symptom: after a power loss of all control instances the system starts with
// an older state. Hundreds of changes, more than a snapshot apart, must be
// there after all were killed at once.
func TestRestartAfterHundredsOfChanges(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.configure()
	const last = 450
	for version := uint64(2); version <= last; version++ {
		c.applyNext("entry-0", version)
	}
	for _, name := range c.controls {
		c.signal(name, syscall.SIGKILL)
	}
	for _, name := range c.controls {
		c.wait(name)
		c.restart(name)
	}
	c.leader()
	assert.Equal(t, c.status().ConfigurationVersion, uint64(last))
	_, err := os.Stat(filepath.Join(c.folder, "control-0", "snapshot"))
	assert.NilError(t, err)
}

func (c *cluster) members() (*wire.ListControlMembersResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return wire.NewOperatorServiceClient(c.at(c.entries[0])).ListControlMembers(ctx, &wire.ListControlMembersRequest{})
}

// Symptom: committed changes are gone after a repair. Sequence: an instance
// loses its disk and starts again under its name; a second one is lost right
// after the repair. Cause, where it fails: the empty replica votes as if it
// held what the old one had promised.
func TestLostDiskThenSecondLoss(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.configure()
	for version := uint64(2); version <= 250; version++ {
		c.applyNext("entry-0", version)
	}
	before, err := c.members()
	assert.NilError(t, err)
	lost := before.Members[0]
	c.kill(lost.Name)
	assert.NilError(t, os.RemoveAll(filepath.Join(c.folder, lost.Name)))
	c.restart(lost.Name)
	c.until("the empty replica waits to be let in", func() bool {
		r, err := c.members()
		return err == nil && len(r.Waiting) == 1 && r.Waiting[0].Name == lost.Name
	})
	ctx, cancel := c.context()
	defer cancel()
	changed, err := wire.NewOperatorServiceClient(c.at("entry-0")).ChangeControlMember(ctx, &wire.ChangeControlMemberRequest{
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

// Symptom: an invalid configuration changes something, or is refused without
// a word of where it is wrong.
func TestInvalidConfigurationIsRefused(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.configure()
	bad := testConfiguration(1)
	bad.JobKinds[1].ClientAccount = "nobody"
	ctx, cancel := c.context()
	defer cancel()
	_, err := wire.NewOperatorServiceClient(c.at("entry-0")).ApplyConfiguration(ctx, &wire.ApplyConfigurationRequest{
		OperationId: "bad", ExpectedVersion: 1, Configuration: bad,
	})
	assert.ErrorContains(t, err, `JobKinds[1].ClientAccount: "nobody" isn't among ClientAccounts`)
	assert.Equal(t, c.status().ConfigurationVersion, uint64(1))
}
