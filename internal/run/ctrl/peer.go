// This file defines how a control replica serves other replicas and entries.

package ctrl

import (
	"context"
	"errors"
	"io"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/timestamppb"

	"sycamoredeck.example/internal/base/link"
	"sycamoredeck.example/internal/base/spans"
	"sycamoredeck.example/internal/front/uplink"
	"sycamoredeck.example/internal/schema/wire"
	"sycamoredeck.example/internal/store/node"
)

const (
	// entryTTL is how long an entry is listed after its last hello.
	entryTTL = 3 * time.Second
	// helloPollTimeout is how long a hello waits for a change. It determines how soon an
	// entry notices the loss of a replica; a shorter one causes more messages.
	helloPollTimeout = 700 * time.Millisecond
	// leaderCheckInterval is how often a relay stream checks that this replica is still the
	// leader, so that entries reconnect soon after a leader change.
	leaderCheckInterval = 200 * time.Millisecond
	// answerQueueSize bounds the answers waiting for one entry. A dropped answer is
	// replaced by the answer to the worker's next report.
	answerQueueSize = 4096
	// notExecuted is the prefix of error messages for calls that were not executed. Entries
	// use it to distinguish such errors from broken connections.
	notExecuted = uplink.NotExecuted
	// dispatchRetention is how long a dispatch record is kept after its request's
	// deadline, to answer resends.
	dispatchRetention = 10 * time.Minute
)

type (
	peerService struct {
		wire.UnimplementedPeerServiceServer
		*Control
	}

	controlService struct {
		wire.UnimplementedControlServiceServer
		*Control
	}
)

var (
	_ wire.PeerServiceServer    = (*peerService)(nil)
	_ wire.ControlServiceServer = (*controlService)(nil)
)

func (c *Control) register() {
	c.server, _ = link.NewServer(link.MaxMessageBytes, c.settings.Common.TraceEndpoint != "", c.listener.ServerOptions()...)
	wire.RegisterPeerServiceServer(c.server, &peerService{Control: c})
	wire.RegisterControlServiceServer(c.server, &controlService{Control: c})
	wire.RegisterJobServiceServer(c.server, &jobService{Control: c})
	wire.RegisterOperatorServiceServer(c.server, &operatorService{Control: c})
	wire.RegisterWorkServiceServer(c.server, &workService{Control: c})
}

// checkStarted returns an error until this replica is part of a cluster.
func (c *Control) checkStarted() error {
	if !c.running.Load() || c.view.Load().members == nil {
		return status.Error(codes.Unavailable, notExecuted+"this replica isn't part of a cluster yet")
	}
	return nil
}

// Exchange receives the messages of another replica until this one stops. It doesn't wait
// for the next message then, which may take long.
func (s *peerService) Exchange(stream grpc.ClientStreamingServer[wire.ExchangeRequest, wire.ExchangeResponse]) error {
	received := make(chan error, 1)
	go func() { received <- s.receiveMessages(stream) }()
	select {
	case err := <-received:
		return err
	case <-s.closing:
		return status.Error(codes.Unavailable, "stopping")
	}
}

func (s *peerService) receiveMessages(stream grpc.ClientStreamingServer[wire.ExchangeRequest, wire.ExchangeResponse]) error {
	for {
		r, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&wire.ExchangeResponse{})
		}
		if err != nil {
			return err
		}
		if s.running.Load() {
			s.node.Step(r.Messages)
		}
	}
}

// Identify returns this replica's identity.
func (s *peerService) Identify(_ context.Context, r *wire.IdentifyRequest) (*wire.IdentifyResponse, error) {
	return s.bootstrapper.Identify(r), nil
}

// Hello records an entry and returns the leader, the members, the configuration version,
// the drained failure domains and the other entries.
func (s *controlService) Hello(ctx context.Context, r *wire.HelloRequest) (*wire.HelloResponse, error) {
	if r.GetEntry().GetEntryId() == "" {
		return nil, status.Error(codes.InvalidArgument, "Entry.EntryId is empty")
	}
	s.entries.record(r.Entry, s.clock.Now())
	v := s.awaitChange(ctx, r)
	response := &wire.HelloResponse{
		LeaderAddress: v.leader, Term: v.term, ConfigurationVersion: v.version, Members: v.members,
		DrainedDomains: v.drained, DrainRevision: v.drainRevision,
	}
	changes := s.entries.changesSince(r.KnownEntries, r.AcceptsChanges, s.clock.Now())
	response.Entries, response.RemovedEntries = changes.listed, changes.removed
	response.EntriesDigest, response.ChangesOnly = changes.digest, !changes.full
	return response, nil
}

// awaitChange blocks a hello until there is something that the entry doesn't know or
// helloPollTimeout passes, so that all entries learn of a change without delay.
func (s *controlService) awaitChange(ctx context.Context, r *wire.HelloRequest) *view {
	v := s.view.Load()
	deadline := s.clock.After(helloPollTimeout)
	for v.version <= r.Entry.ConfigurationVersion && v.drainRevision <= r.KnownDrains && v.leader == r.KnownLeader && v.term == r.KnownTerm {
		select {
		case <-v.changed:
		case <-deadline:
			return v
		case <-ctx.Done():
			return v
		case <-s.closing:
			return v
		}
		v = s.view.Load()
	}
	return v
}

// FetchConfiguration returns the configuration applied by this replica. An entry without
// a configuration needs a quorum-confirmed one, since a lagging replica may return one
// older than what other entries use.
func (s *controlService) FetchConfiguration(ctx context.Context, r *wire.FetchConfigurationRequest) (*wire.FetchConfigurationResponse, error) {
	if err := s.checkStarted(); err != nil {
		return nil, err
	}
	response := &wire.FetchConfigurationResponse{}
	read := func() { response.Current = s.machine.Configuration() }
	if r.QuorumConfirmed {
		return response, statusError(s.node.Read(ctx, read))
	}
	return response, statusError(s.node.Do(ctx, read))
}

// RelayWorkers serves the workers that are connected to one entry.
func (s *controlService) RelayWorkers(stream grpc.BidiStreamingServer[wire.RelayWorkersRequest, wire.RelayWorkersResponse]) error {
	if err := s.checkStarted(); err != nil {
		return err
	}
	outgoing := make(chan *wire.WorkerAnswer, answerQueueSize)
	reply := func(a *wire.WorkerAnswer) {
		select {
		case outgoing <- a:
		default:
		}
	}
	received := make(chan error, 1)
	go func() { received <- s.receiveReports(stream, reply) }()
	ticker := s.clock.NewTicker(leaderCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-received:
			return err
		case <-s.closing:
			return status.Error(codes.Unavailable, "stopping")
		case <-ticker.Chan():
			if !s.view.Load().isLeader {
				return status.Error(codes.Unavailable, "not the leader")
			}
		case a := <-outgoing:
			if err := stream.Send(&wire.RelayWorkersResponse{Answers: batch(a, outgoing)}); err != nil {
				return err
			}
		}
	}
}

func (s *controlService) receiveReports(stream grpc.BidiStreamingServer[wire.RelayWorkersRequest, wire.RelayWorkersResponse], reply func(*wire.WorkerAnswer)) error {
	for {
		r, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		s.node.Post(func() {
			now := s.clock.Now()
			for _, rp := range r.Reports {
				s.planner.HandleReport(now, rp, reply)
			}
		})
	}
}

// batch returns first and all answers waiting in more.
func batch(first *wire.WorkerAnswer, more chan *wire.WorkerAnswer) []*wire.WorkerAnswer {
	answers := []*wire.WorkerAnswer{first}
	for {
		select {
		case a := <-more:
			answers = append(answers, a)
		default:
			return answers
		}
	}
}

// OpenDispatch records that a non-idempotent request is about to be sent.
func (s *controlService) OpenDispatch(ctx context.Context, r *wire.OpenDispatchRequest) (*wire.OpenDispatchResponse, error) {
	if err := s.checkStarted(); err != nil {
		return nil, err
	}
	ctx, span := spans.StartSpan(ctx, "commit")
	defer span.End()
	keepUntil := s.clock.Now().Add(r.Timeout.AsDuration() + dispatchRetention)
	result, err := s.node.Commit(ctx, &wire.Command{Body: &wire.Command_OpenDispatch{OpenDispatch: &wire.DispatchRecord{
		ClientAccount: r.ClientAccount, RequestId: r.RequestId, EntryId: r.EntryId, Nonce: r.Nonce,
		KeepUntil: timestamppb.New(keepUntil),
	}}})
	return result.Dispatch, statusError(err)
}

// CloseDispatch records the outcome of the request.
func (s *controlService) CloseDispatch(ctx context.Context, r *wire.CloseDispatchRequest) (*wire.CloseDispatchResponse, error) {
	if err := s.checkStarted(); err != nil {
		return nil, err
	}
	_, err := s.node.Commit(ctx, &wire.Command{Body: &wire.Command_CloseDispatch{CloseDispatch: &wire.CloseDispatch{
		ClientAccount: r.ClientAccount, RequestId: r.RequestId, Nonce: r.Nonce, NotRun: r.NotRun,
	}}})
	return &wire.CloseDispatchResponse{}, statusError(err)
}

// statusError converts an error of the replica into a status. Unavailable means that the
// command was not executed, Aborted that it may have been. ResourceExhausted means that it was
// refused, and tells when to repeat it.
func statusError(err error) error {
	var noRoom *node.NoRoomError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &noRoom):
		return uplink.Refused(noRoom.Error(), noRoom.RetryAfter)
	case errors.Is(err, node.ErrNotLeader), errors.Is(err, node.ErrStopped):
		return status.Error(codes.Unavailable, notExecuted+err.Error())
	case errors.Is(err, node.ErrUncertain):
		return status.Error(codes.Aborted, err.Error())
	}
	if _, ok := status.FromError(err); ok {
		return err
	}
	return status.FromContextError(err).Err()
}
