// This file defines tests of the roster.

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

var startTime = time.Unix(1000, 0)

func announcement(incarnation uint64, leaving bool) *wire.Announcement {
	return &wire.Announcement{
		BackendServerId: "s", Incarnation: incarnation, Service: "svc", Address: "127.0.0.1:1",
		Slots: 8, Connections: 64, Leaving: leaving,
	}
}

// newRoster returns a roster and the number of usable servers passed to OnChange, or -1.
func newRoster() (*roster.Roster, *int) {
	count := -1
	return roster.New(roster.Options{MaxAge: limit, OnChange: func(_ string, usable []*wire.Announcement) { count = len(usable) }}), &count
}

func announce(t *testing.T, r *roster.Roster, at, age time.Duration, a *wire.Announcement) {
	t.Helper()
	assert.NilError(t, r.Announce(startTime.Add(at), a, age, true))
}

// Guards against sending requests to a drained failure domain.
func TestBackendServersOfDrainedDomainAreNotUsable(t *testing.T) {
	r, count := newRoster()
	a := announcement(1, false)
	a.FailureDomain = "east"
	announce(t, r, 0, 0, a)
	r.SetDrained(startTime, []string{"west"})
	assert.Equal(t, *count, 1)
	r.SetDrained(startTime, []string{"west", "east"})
	assert.Equal(t, *count, 0)
	announce(t, r, time.Second, 0, a)
	assert.Equal(t, *count, 0, "an announcement must not make it usable again")
	r.SetDrained(startTime.Add(time.Second), nil)
	assert.Equal(t, *count, 1)
}

// Each case is a sequence of announcements and the number of usable servers after it.
func TestUsable(t *testing.T) {
	type received struct {
		at, age     time.Duration
		incarnation uint64
		leaving     bool
	}
	cases := []struct {
		name     string
		received []received
		sweep    time.Duration
		want     int
	}{
		{"announced", []received{{0, 0, 1, false}}, time.Second, 1},
		{"last sign of life too old", []received{{0, 0, 1, false}}, 4 * time.Second, 0},
		{"late announcement through another entry", []received{{0, 2900 * time.Millisecond, 1, false}}, time.Second, 0},
		{"leaving", []received{{0, 0, 1, false}, {1, 0, 1, true}}, time.Second, 0},
		{"an older announcement after leaving", []received{{0, 0, 1, true}, {1, time.Millisecond, 1, false}}, time.Second, 0},
		{"restarted after leaving", []received{{0, 0, 1, true}, {1, 0, 2, false}}, time.Second, 1},
		{"an older incarnation after a newer", []received{{0, 0, 2, false}, {1, 0, 1, true}}, time.Second, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, count := newRoster()
			for _, n := range c.received {
				announce(t, r, n.at, n.age, announcement(n.incarnation, n.leaving))
			}
			r.Sweep(startTime.Add(c.sweep))
			assert.Equal(t, max(*count, 0), c.want)
		})
	}
}

func TestRepliesAreSignsOfLife(t *testing.T) {
	r, count := newRoster()
	announce(t, r, 0, 0, announcement(1, false))
	r.RecordReply(startTime.Add(2*time.Second), "s", 1, false)
	r.Sweep(startTime.Add(4 * time.Second))
	assert.Equal(t, *count, 1)
	r.RecordReply(startTime.Add(4*time.Second), "s", 1, true)
	assert.Equal(t, *count, 0, "usable after a reply that says it is leaving")
}

// Guards against announcements circulating between entries, which would keep a dead
// backend server usable.
func TestOnlyDirectAnnouncementsAreShared(t *testing.T) {
	r, _ := newRoster()
	assert.NilError(t, r.Announce(startTime, announcement(1, false), 0, false))
	assert.Equal(t, len(r.DirectAnnouncements(startTime)), 0)
	announce(t, r, 0, 0, announcement(1, false))
	assert.Equal(t, len(r.DirectAnnouncements(startTime)), 1)
	assert.Equal(t, len(r.DirectAnnouncements(startTime.Add(limit+time.Second))), 0)
}

func TestInvalidAnnouncements(t *testing.T) {
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
			err := r.Announce(startTime, a, 0, true)
			assert.ErrorIs(t, err, roster.ErrInvalidAnnouncement)
			assert.ErrorContains(t, err, c.field)
			assert.Equal(t, *count, -1)
		})
	}
	t.Run("nil", func(t *testing.T) {
		r, _ := newRoster()
		assert.ErrorIs(t, r.Announce(startTime, nil, 0, true), roster.ErrInvalidAnnouncement)
	})
}
