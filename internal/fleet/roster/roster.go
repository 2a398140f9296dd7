// This file defines Roster, the list of backend servers an entry knows.

// Package roster keeps the backend servers that have announced themselves, at
// this entry or at another that passed it on.
//
// It is soft state: an announcement older than the limit isn't used, so that a
// backend server that died unheard, or whose news no longer reach this entry,
// gets no new work after that time. Leaving is sticky within an incarnation,
// since an older announcement may arrive by another way after it.
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
	// recordRetention is how long a silent backend server is remembered, so that
	// a late announcement of a leaving one doesn't bring it back.
	recordRetention = 10 * time.Minute
)

// ErrInvalidAnnouncement is wrapped by every refusal of an announcement.
var ErrInvalidAnnouncement = errors.New("impossible announcement")

var (
	announcedTotal = metrics.NewCounter("sycamoredeck_announcements_total")
	refusedTotal   = metrics.NewCounter("sycamoredeck_announcements_refused_total")
)

type (
	record struct {
		announcement *wire.Announcement
		lastSeen     time.Time
		// lastDirect is when it announced itself here, and not through a peer.
		lastDirect time.Time
		usable     bool
	}

	// Options are fixed for the life of a Roster.
	Options struct {
		// MaxAge is the age of the last sign of life from which on a backend
		// server isn't used.
		MaxAge time.Duration
		// OnChange is called with the usable backend servers of a service
		// whenever they change, one call at a time.
		OnChange func(service string, usable []*wire.Announcement)
	}

	// Roster may be used by many goroutines.
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

// Check refuses an announcement that no sound backend server makes, and names
// the field.
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

// Announce takes an announcement of the given age. Direct says that it was made
// to this entry.
func (r *Roster) Announce(now time.Time, a *wire.Announcement, age time.Duration, direct bool) error {
	if err := Check(a); err != nil {
		refusedTotal.Inc()
		return err
	}
	announcedTotal.Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.records[a.BackendServerId]
	if k == nil {
		k = &record{}
		r.records[a.BackendServerId] = k
	}
	switch {
	case k.announcement != nil && a.Incarnation < k.announcement.Incarnation:
		return nil
	case k.announcement != nil && a.Incarnation == k.announcement.Incarnation && k.announcement.Leaving && !a.Leaving:
		a = proto.Clone(a).(*wire.Announcement)
		a.Leaving = true
	}
	changed := k.announcement == nil || !proto.Equal(k.announcement, a)
	old := k.announcement
	if changed {
		k.announcement = a
	}
	if at := now.Add(-age); at.After(k.lastSeen) {
		k.lastSeen = at
	}
	if direct {
		k.lastDirect = now
	}
	usable := r.usable(k, now)
	if !changed && usable == k.usable {
		return nil
	}
	k.usable = usable
	r.notify(now, a.Service)
	if old != nil && old.Service != a.Service {
		r.notify(now, old.Service)
	}
	return nil
}

// RecordReply notes a sign of life from an answer to a request.
func (r *Roster) RecordReply(now time.Time, id string, incarnation uint64, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.records[id]
	if k == nil || k.announcement.Incarnation != incarnation {
		return
	}
	if now.After(k.lastSeen) {
		k.lastSeen = now
	}
	if leaving && !k.announcement.Leaving {
		k.announcement = proto.Clone(k.announcement).(*wire.Announcement)
		k.announcement.Leaving = true
		k.usable = false
		r.notify(now, k.announcement.Service)
	}
}

// SetDrained names the failure domains whose backend servers get no new work.
func (r *Roster) SetDrained(now time.Time, domains []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drained = map[string]bool{}
	for _, d := range domains {
		r.drained[d] = true
	}
	r.refresh(now)
}

// Sweep takes those out of use whose evidence has grown too old.
func (r *Roster) Sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh(now)
}

// refresh works out anew which backend servers are usable.
func (r *Roster) refresh(now time.Time) {
	changed := map[string]bool{}
	for id, k := range r.records {
		if now.Sub(k.lastSeen) > recordRetention {
			delete(r.records, id)
			continue
		}
		if usable := r.usable(k, now); usable != k.usable {
			k.usable = usable
			changed[k.announcement.Service] = true
		}
	}
	for service := range changed {
		r.notify(now, service)
	}
}

// DirectAnnouncements lists what was announced here within the limit, for the peers.
func (r *Roster) DirectAnnouncements(now time.Time) []*wire.HeardAnnouncement {
	r.mu.Lock()
	defer r.mu.Unlock()
	var heard []*wire.HeardAnnouncement
	for _, k := range r.records {
		if age := now.Sub(k.lastDirect); !k.lastDirect.IsZero() && age <= r.options.MaxAge {
			heard = append(heard, &wire.HeardAnnouncement{Announcement: k.announcement, Age: durationpb.New(age)})
		}
	}
	return heard
}

// List gives all that are remembered, in the order of their ids.
func (r *Roster) List(now time.Time) []*wire.BackendServerStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*wire.BackendServerStatus
	for _, k := range r.records {
		list = append(list, &wire.BackendServerStatus{
			Announcement: k.announcement, EvidenceAge: durationpb.New(now.Sub(k.lastSeen)), Usable: r.usable(k, now),
		})
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].Announcement.BackendServerId < list[j].Announcement.BackendServerId
	})
	return list
}

func (r *Roster) usable(k *record, now time.Time) bool {
	return !k.announcement.Leaving && !r.drained[k.announcement.FailureDomain] && now.Sub(k.lastSeen) <= r.options.MaxAge
}

func (r *Roster) notify(now time.Time, service string) {
	var usable []*wire.Announcement
	for _, k := range r.records {
		if k.announcement.Service == service && r.usable(k, now) {
			usable = append(usable, k.announcement)
		}
	}
	sort.Slice(usable, func(i, j int) bool { return usable[i].BackendServerId < usable[j].BackendServerId })
	r.options.OnChange(service, usable)
}
