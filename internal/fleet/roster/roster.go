// This file defines Roster, an entry's list of backend servers.

// Package roster tracks the backend servers that have announced themselves to this entry
// or to another one, which shares their announcements.
//
// The roster is soft state: a backend server gets no new work once its last sign of life
// is older than a limit, whether it crashed or its announcements no longer reach this
// entry. Leaving is sticky within an incarnation, since an older announcement may arrive
// later through another entry.
package roster

import (
	"errors"
	"fmt"
	"net"
	"sort"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"sycamoredeck.example/internal/base/setup"
	"sycamoredeck.example/internal/schema/wire"
)

const (
	maxSlots       = 4096
	maxConnections = 65536
	maxNameBytes   = 128
	// recordRetention is how long the record of an unresponsive backend server is kept, so
	// that a delayed announcement doesn't make a leaving one usable again.
	recordRetention = 10 * time.Minute
)

// ErrInvalidAnnouncement is wrapped by the errors of Check.
var ErrInvalidAnnouncement = errors.New("impossible announcement")

var (
	announcedTotal = metrics.NewCounter("sycamoredeck_announcements_total")
	refusedTotal   = metrics.NewCounter("sycamoredeck_announcements_refused_total")
)

type (
	// record is the state of one backend server.
	record struct {
		announcement *wire.Announcement
		lastSeen     time.Time
		// lastDirect is the time of the last announcement to this entry itself.
		lastDirect time.Time
		usable     bool
	}

	// Options configure a Roster.
	Options struct {
		// MaxAge is the maximum age of the last sign of life of a usable backend server.
		MaxAge time.Duration
		// OnChange is called with the usable backend servers of a service when they
		// change. Calls are serialized.
		OnChange func(service string, usable []*wire.Announcement)
	}

	// Roster tracks backend servers. It is safe for concurrent use.
	Roster struct {
		options Options
		mu      sync.Mutex
		records map[string]*record
		drained map[string]bool // failure domains
	}
)

// New returns an empty roster.
func New(options Options) *Roster {
	return &Roster{options: options, records: map[string]*record{}}
}

// Check validates an announcement. The error names the invalid field.
func Check(a *wire.Announcement) error {
	_, _, addressErr := net.SplitHostPort(a.GetAddress())
	switch {
	case a.GetBackendServerId() == "" || len(a.BackendServerId) > maxNameBytes:
		return fmt.Errorf("%w: BackendServerId must have 1 to %d bytes", ErrInvalidAnnouncement, maxNameBytes)
	case a.Incarnation == 0:
		return fmt.Errorf("%w: Incarnation must be at least 1", ErrInvalidAnnouncement)
	case !setup.NamePattern.MatchString(a.Service):
		return fmt.Errorf("%w: Service is %q", ErrInvalidAnnouncement, a.Service)
	case addressErr != nil:
		return fmt.Errorf("%w: Address is %q", ErrInvalidAnnouncement, a.Address)
	case a.Slots == 0 || a.Slots > maxSlots:
		return fmt.Errorf("%w: Slots must be 1 to %d", ErrInvalidAnnouncement, maxSlots)
	case a.Connections == 0 || a.Connections > maxConnections:
		return fmt.Errorf("%w: Connections must be 1 to %d", ErrInvalidAnnouncement, maxConnections)
	case len(a.FailureDomain) > maxNameBytes || len(a.WorkerId) > maxNameBytes:
		return fmt.Errorf("%w: FailureDomain and WorkerId may have %d bytes", ErrInvalidAnnouncement, maxNameBytes)
	default:
		return nil
	}
}

// Announce records an announcement of the given age. direct is set if it was made to this
// entry.
func (r *Roster) Announce(now time.Time, a *wire.Announcement, age time.Duration, direct bool) error {
	if err := Check(a); err != nil {
		refusedTotal.Inc()
		return err
	}
	announcedTotal.Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	rc := r.records[a.BackendServerId]
	if rc == nil {
		rc = &record{}
		r.records[a.BackendServerId] = rc
	}
	switch {
	case rc.announcement != nil && a.Incarnation < rc.announcement.Incarnation:
		return nil
	case rc.announcement != nil && a.Incarnation == rc.announcement.Incarnation && rc.announcement.Leaving && !a.Leaving:
		a = proto.Clone(a).(*wire.Announcement)
		a.Leaving = true
	}
	changed := rc.announcement == nil || !proto.Equal(rc.announcement, a)
	old := rc.announcement
	if changed {
		rc.announcement = a
	}
	if at := now.Add(-age); at.After(rc.lastSeen) {
		rc.lastSeen = at
	}
	if direct {
		rc.lastDirect = now
	}
	usable := r.usable(rc, now)
	if !changed && usable == rc.usable {
		return nil
	}
	rc.usable = usable
	r.notify(now, a.Service)
	if old != nil && old.Service != a.Service {
		r.notify(now, old.Service)
	}
	return nil
}

// RecordReply records the response of a backend server to a request as a sign of life.
func (r *Roster) RecordReply(now time.Time, id string, incarnation uint64, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rc := r.records[id]
	if rc == nil || rc.announcement.Incarnation != incarnation {
		return
	}
	if now.After(rc.lastSeen) {
		rc.lastSeen = now
	}
	if leaving && !rc.announcement.Leaving {
		rc.announcement = proto.Clone(rc.announcement).(*wire.Announcement)
		rc.announcement.Leaving = true
		rc.usable = false
		r.notify(now, rc.announcement.Service)
	}
}

// SetDrained sets the failure domains whose backend servers get no new work.
func (r *Roster) SetDrained(now time.Time, domains []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drained = map[string]bool{}
	for _, d := range domains {
		r.drained[d] = true
	}
	r.refresh(now)
}

// Sweep stops using backend servers whose last sign of life is too old.
func (r *Roster) Sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh(now)
}

// refresh recomputes which backend servers are usable and removes old records.
func (r *Roster) refresh(now time.Time) {
	changed := map[string]bool{}
	for id, rc := range r.records {
		if now.Sub(rc.lastSeen) > recordRetention {
			delete(r.records, id)
			continue
		}
		if usable := r.usable(rc, now); usable != rc.usable {
			rc.usable = usable
			changed[rc.announcement.Service] = true
		}
	}
	for s := range changed {
		r.notify(now, s)
	}
}

// DirectAnnouncements returns the announcements made to this entry within MaxAge, to be
// shared with other entries.
func (r *Roster) DirectAnnouncements(now time.Time) []*wire.HeardAnnouncement {
	r.mu.Lock()
	defer r.mu.Unlock()
	var announcements []*wire.HeardAnnouncement
	for _, rc := range r.records {
		if age := now.Sub(rc.lastDirect); !rc.lastDirect.IsZero() && age <= r.options.MaxAge {
			announcements = append(announcements, &wire.HeardAnnouncement{Announcement: rc.announcement, Age: durationpb.New(age)})
		}
	}
	return announcements
}

// List returns the status of all known backend servers, ordered by ID.
func (r *Roster) List(now time.Time) []*wire.BackendServerStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*wire.BackendServerStatus
	for _, rc := range r.records {
		list = append(list, &wire.BackendServerStatus{
			Announcement: rc.announcement, EvidenceAge: durationpb.New(now.Sub(rc.lastSeen)), Usable: r.usable(rc, now),
		})
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].Announcement.BackendServerId < list[j].Announcement.BackendServerId
	})
	return list
}

func (r *Roster) usable(rc *record, now time.Time) bool {
	return !rc.announcement.Leaving && !r.drained[rc.announcement.FailureDomain] && now.Sub(rc.lastSeen) <= r.options.MaxAge
}

// notify passes the usable backend servers of a service to OnChange.
func (r *Roster) notify(now time.Time, service string) {
	var usable []*wire.Announcement
	for _, rc := range r.records {
		if rc.announcement.Service == service && r.usable(rc, now) {
			usable = append(usable, rc.announcement)
		}
	}
	sort.Slice(usable, func(i, j int) bool { return usable[i].BackendServerId < usable[j].BackendServerId })
	r.options.OnChange(service, usable)
}
