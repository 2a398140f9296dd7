// This file defines how entries receive announcements of backend servers and share them.

package entry

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sycamoredeck.example/internal/schema/wire"
)

const (
	// shareInterval is how often an entry shares the announcements it has received. New
	// and leaving backend servers are shared immediately.
	shareInterval = 300 * time.Millisecond
	shareTimeout  = time.Second
)

type (
	announceService struct {
		wire.UnimplementedAnnounceServiceServer
		*Entry
	}

	entryService struct {
		wire.UnimplementedEntryServiceServer
		*Entry
	}

	// sharer sends the announcements made to this entry to all other entries. A slow or
	// unresponsive entry doesn't delay the others.
	sharer struct {
		entry    *Entry
		mu       sync.Mutex
		inFlight map[string]bool
		pending  chan struct{}
		once     sync.Once
	}
)

var (
	_ wire.AnnounceServiceServer = (*announceService)(nil)
	_ wire.EntryServiceServer    = (*entryService)(nil)
)

// Announce serves the stream of one backend server.
func (s *announceService) Announce(stream grpc.BidiStreamingServer[wire.AnnounceRequest, wire.AnnounceResponse]) error {
	received := make(chan error, 1)
	go func() { received <- s.receiveAnnouncements(stream) }()
	select {
	case err := <-received:
		return err
	case <-s.closing:
		return status.Error(codes.Unavailable, "this entry is stopping")
	}
}

func (s *announceService) receiveAnnouncements(stream grpc.BidiStreamingServer[wire.AnnounceRequest, wire.AnnounceResponse]) error {
	var last *wire.Announcement
	for {
		r, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := s.roster.Announce(s.clock.Now(), r.Announcement, 0, true); err != nil {
			return status.Error(codes.InvalidArgument, err.Error())
		}
		if last == nil || last.Leaving != r.Announcement.Leaving {
			s.sharer.flushSoon()
		}
		last = r.Announcement
		if err := stream.Send(&wire.AnnounceResponse{}); err != nil {
			return err
		}
	}
}

// ShareRoster records the announcements made to another entry. Invalid ones are ignored.
func (s *entryService) ShareRoster(_ context.Context, r *wire.ShareRosterRequest) (*wire.ShareRosterResponse, error) {
	now := s.clock.Now()
	for _, h := range r.Heard {
		if age := h.GetAge().AsDuration(); age >= 0 {
			_ = s.roster.Announce(now, h.Announcement, age, false) // counts invalid ones
		}
	}
	return &wire.ShareRosterResponse{}, nil
}

func (s *sharer) pendingSignal() chan struct{} {
	s.once.Do(func() { s.pending = make(chan struct{}, 1) })
	return s.pending
}

// flushSoon shares immediately instead of at the next interval.
func (s *sharer) flushSoon() {
	select {
	case s.pendingSignal() <- struct{}{}:
	default:
	}
}

func (s *sharer) run(ctx context.Context) {
	ticker := s.entry.clock.NewTicker(shareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		case <-s.pendingSignal():
		}
		announcements := s.entry.roster.DirectAnnouncements(s.entry.clock.Now())
		if len(announcements) == 0 {
			continue
		}
		request := &wire.ShareRosterRequest{EntryId: s.entry.settings.Common.InstanceId, Heard: announcements}
		for _, e := range s.entry.uplink.Entries() {
			if e.EntryId != request.EntryId && s.tryBegin(e.Address) {
				go s.send(ctx, e.Address, request)
			}
		}
	}
}

// tryBegin reports whether no request to the address is in flight, and marks one.
func (s *sharer) tryBegin(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[address] {
		return false
	}
	if s.inFlight == nil {
		s.inFlight = map[string]bool{}
	}
	s.inFlight[address] = true
	return true
}

func (s *sharer) send(ctx context.Context, address string, r *wire.ShareRosterRequest) {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.inFlight, address)
	}()
	conn, err := s.entry.pool.Conn(address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	// Lost announcements are sent again at the next interval.
	_, _ = wire.NewEntryServiceClient(conn).ShareRoster(ctx, r)
}
