// This file defines tests of which replicas an uplink watches.

package uplink

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against load on replicas that don't vote, and against an entry that finds no leader because
// it knows only members that are gone.
func TestWatchedReplicas(t *testing.T) {
	cases := []struct {
		name       string
		responsive []string
		want       []string
	}{
		{"quorum responds", members[:2], members[:3]},
		{"no quorum responds", members[:1], append([]string{"127.0.0.1:9"}, members...)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, len(members))
			f.learners = 2
			f.uplink.SetAddresses([]string{"127.0.0.1:9"})
			f.clock.Advance(statusTTL + time.Second)
			for _, a := range c.responsive {
				f.receiveHello(a, "", 2)
			}
			slices.Sort(c.want)
			assert.DeepEqual(t, slices.Sorted(maps.Keys(f.uplink.watchedAddresses(f.uplink.HasQuorum()))), c.want)
			for _, a := range members {
				assert.Equal(t, f.uplink.Addresses()[a], slices.Contains(c.want, a), "connection to %s", a)
			}
		})
	}
}
