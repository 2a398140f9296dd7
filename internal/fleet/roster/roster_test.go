// This file defines the tests of the roster.

package roster_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/fleet/roster"
	"sycamoredeck.example/internal/schema/wire"
)

const limit = 3 * time.Second

var start = time.Unix(1000, 0)

func announcement(incarnation uint64, leaving bool) *wire.Announcement {
	return &wire.Announcement{
		BackendServerId: "s", Incarnation: incarnation, Service: "svc", Address: "127.0.0.1:1",
		Slots: 8, Connections: 64, Leaving: leaving,
	}
}

// newRoster gives a roster and the count of usable servers as last told.
func newRoster() (*roster.Roster, *int) {
	count := -1
	return roster.New(roster.Options{MaxAge: limit, OnChange: func(_ string, usable []*wire.Announcement) { count = len(usable) }}), &count
}

func hear(t *testing.T, r *roster.Roster, at, age time.Duration, a *wire.Announcement) {
	t.Helper()
	assert.NilError(t, r.Announce(start.Add(at), a, age, true))
}

// Guards against requests that are sent to a drained failure domain.
func TestBackendServersOfADrainedDomainAreNotUsable(t *testing.T) {
	r, count := newRoster()
	a := announcement(1, false)
	a.FailureDomain = "east"
	hear(t, r, 0, 0, a)
	r.SetDrained(start, []string{"west"})
	assert.Equal(t, *count, 1)
	r.SetDrained(start, []string{"west", "east"})
	assert.Equal(t, *count, 0)
	hear(t, r, time.Second, 0, a)
	assert.Equal(t, *count, 0, "news of it must not bring it back")
	r.SetDrained(start.Add(time.Second), nil)
	assert.Equal(t, *count, 1)
}

// Each row is a sequence of news and how many servers are usable after it.
func TestUsable(t *testing.T) {
	type news struct {
		at, age     time.Duration
		incarnation uint64
		leaving     bool
	}
	cases := []struct {
		name  string
		news  []news
		sweep time.Duration
		want  int
	}{
		{"announced", []news{{0, 0, 1, false}}, time.Second, 1},
		{"evidence too old", []news{{0, 0, 1, false}}, 4 * time.Second, 0},
		{"heard late through a peer", []news{{0, 2900 * time.Millisecond, 1, false}}, time.Second, 0},
		{"leaving", []news{{0, 0, 1, false}, {1, 0, 1, true}}, time.Second, 0},
		{"an older announcement after leaving", []news{{0, 0, 1, true}, {1, time.Millisecond, 1, false}}, time.Second, 0},
		{"started again after leaving", []news{{0, 0, 1, true}, {1, 0, 2, false}}, time.Second, 1},
		{"an older incarnation after a newer", []news{{0, 0, 2, false}, {1, 0, 1, true}}, time.Second, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, count := newRoster()
			for _, n := range c.news {
				hear(t, r, n.at, n.age, announcement(n.incarnation, n.leaving))
			}
			r.Sweep(start.Add(c.sweep))
			assert.Equal(t, max(*count, 0), c.want)
		})
	}
}

func TestRepliesAreEvidence(t *testing.T) {
	r, count := newRoster()
	hear(t, r, 0, 0, announcement(1, false))
	r.RecordReply(start.Add(2*time.Second), "s", 1, false)
	r.Sweep(start.Add(4 * time.Second))
	assert.Equal(t, *count, 1)
	r.RecordReply(start.Add(4*time.Second), "s", 1, true)
	assert.Equal(t, *count, 0, "a reply that says it leaves is passed over")
}

// What was heard from a peer isn't passed on: news would go round for ever and
// keep a dead backend server alive.
func TestOnlyDirectNewsAreShared(t *testing.T) {
	r, _ := newRoster()
	assert.NilError(t, r.Announce(start, announcement(1, false), 0, false))
	assert.Equal(t, len(r.DirectAnnouncements(start)), 0)
	hear(t, r, 0, 0, announcement(1, false))
	assert.Equal(t, len(r.DirectAnnouncements(start)), 1)
	assert.Equal(t, len(r.DirectAnnouncements(start.Add(limit+time.Second))), 0)
}

func TestImpossibleAnnouncements(t *testing.T) {
	cases := []struct {
		field  string
		change func(*wire.Announcement)
	}{
		{"BackendServerId", func(a *wire.Announcement) { a.BackendServerId = "" }},
		{"Incarnation", func(a *wire.Announcement) { a.Incarnation = 0 }},
		{"Service", func(a *wire.Announcement) { a.Service = "No Name" }},
		{"Address", func(a *wire.Announcement) { a.Address = "nowhere" }},
		{"Slots", func(a *wire.Announcement) { a.Slots = 1 << 30 }},
		{"Connections", func(a *wire.Announcement) { a.Connections = 0 }},
	}
	for _, c := range cases {
		t.Run(c.field, func(t *testing.T) {
			r, count := newRoster()
			a := proto.Clone(announcement(1, false)).(*wire.Announcement)
			c.change(a)
			err := r.Announce(start, a, 0, true)
			assert.ErrorIs(t, err, roster.ErrInvalidAnnouncement)
			assert.ErrorContains(t, err, c.field)
			assert.Equal(t, *count, -1)
		})
	}
	t.Run("none at all", func(t *testing.T) {
		r, _ := newRoster()
		assert.ErrorIs(t, r.Announce(start, nil, 0, true), roster.ErrInvalidAnnouncement)
	})
}
