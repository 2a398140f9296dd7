// This file defines tests of which replicas an entry reads from.

package uplink

import (
	"slices"
	"testing"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"
)

// isPreference returns an assertion that the followers are one of each group, in this order.
func isPreference(t *testing.T, got []string, groups ...[]string) {
	t.Helper()
	assert.Equal(t, len(got), len(groups), "%v", got)
	for i, g := range groups {
		assert.Assert(t, slices.Contains(g, got[i]), "%v isn't one of %v", got[i], g)
	}
}

// Guards against reads that load the leader or delay commits, and against waiting for a replica that
// doesn't respond.
func TestFollowers(t *testing.T) {
	timeout, noLeader := status.Error(codes.DeadlineExceeded, ""), status.Error(codes.Unavailable, NotExecuted+"no leader")
	leader, voters, learners := members[0], members[1:3], members[3:]
	cases := []struct {
		name   string
		lost   []string
		failed []string
		err    error
		want   [][]string
	}{
		{"all respond", nil, nil, nil, [][]string{learners, voters}},
		{"a voter is lost", voters[:1], nil, nil, [][]string{learners, voters[1:]}},
		{"all voters but the leader are lost", voters, nil, nil, [][]string{learners}},
		{"a learner didn't answer", nil, learners[:1], timeout, [][]string{learners[1:], voters}},
		{"no learner answered", nil, learners, timeout, [][]string{voters}},
		{"nobody answered", nil, members, timeout, nil},
		{"there was no leader", nil, members, noLeader, [][]string{learners, voters}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, len(members))
			f.learners = len(learners)
			for _, a := range members {
				f.receiveHello(a, leader, 2)
			}
			f.lose(c.lost)
			for _, a := range c.failed {
				f.uplink.RecordFollowerFailure(a, c.err)
			}
			isPreference(t, f.uplink.Followers(), c.want...)
			f.clock.Advance(followerRetryInterval)
			for _, a := range members {
				f.receiveHello(a, leader, 2)
			}
			isPreference(t, f.uplink.Followers(), learners, voters)
		})
	}
}

// Guards against all entries reading from the same replica.
func TestEntriesPreferDifferentFollowers(t *testing.T) {
	preferred := map[string]bool{}
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		f := newFixture(t, len(members))
		f.uplink.options.Self.EntryId = id
		f.receiveHello(members[0], members[0], 2)
		preferred[f.uplink.Followers()[0]] = true
	}
	assert.Assert(t, len(preferred) > 1, "all prefer %v", preferred)
}
