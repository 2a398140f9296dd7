// This file implements the announcements to entries.

package server

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/model/front"
	"sycamoredeck.example/internal/schema/wire"
)

const (
	announceInterval = 500 * time.Millisecond
	announceTimeout  = time.Second
	// leavePollInterval is the maximum delay before leaving is announced, and the pause
	// between two streams.
	leavePollInterval = 20 * time.Millisecond
)

var errNoAnswer = errors.New("the entry doesn't answer")

func (s *Server) announce(ctx context.Context) {
	balancer, err := front.New(s.options.Entries)
	if err != nil {
		return
	}
	defer balancer.Close()
	for ctx.Err() == nil {
		if conn, err := balancer.Wait(ctx); err == nil {
			// After any error, announce to the next ready entry.
			_ = s.announceAt(ctx, conn)
		}
		select {
		case <-ctx.Done():
		case <-time.After(leavePollInterval):
		}
	}
}

func (s *Server) announceAt(ctx context.Context, conn *grpc.ClientConn) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := wire.NewAnnounceServiceClient(conn).Announce(ctx)
	if err != nil {
		return err
	}
	answers := make(chan error, 16)
	go func() {
		for {
			_, err := stream.Recv()
			answers <- err
			if err != nil {
				return
			}
		}
	}()
	for {
		leaving := s.leaving.Load()
		a := proto.Clone(s.options.Announcement).(*wire.Announcement)
		a.Leaving = leaving
		if err := stream.Send(&wire.AnnounceRequest{Announcement: a}); err != nil {
			return err
		}
		select {
		case err := <-answers:
			if err != nil {
				return err
			}
		case <-time.After(announceTimeout):
			return errNoAnswer
		}
		s.waitNextAnnouncement(ctx, leaving)
	}
}

// waitNextAnnouncement waits until the next announcement is due, which is immediately
// once the server leaves.
func (s *Server) waitNextAnnouncement(ctx context.Context, leaving bool) {
	until := time.Now().Add(announceInterval)
	for time.Now().Before(until) && ctx.Err() == nil && s.leaving.Load() == leaving {
		time.Sleep(leavePollInterval)
	}
}
