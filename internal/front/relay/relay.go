// This file defines Relay, which forwards workers' reports to the leader.

// Package relay lets workers connect to any entry. The entry forwards their reports to the
// control leader on a single stream, and the answers back to each worker.
package relay

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sycamoredeck.example/internal/front/uplink"
	"sycamoredeck.example/internal/sched/plan"
	"sycamoredeck.example/internal/schema/wire"
)

const (
	// reportQueueSize bounds the reports that wait for the leader. Workers report again
	// within a second of a dropped report.
	reportQueueSize = 8192
	answerQueueSize = 64
	reconnectDelay  = 50 * time.Millisecond
	// leaderCheckInterval is how often a stream checks that it goes to the current leader.
	leaderCheckInterval = 100 * time.Millisecond
	// unansweredTimeout is how long reports may go unanswered before the stream is
	// replaced; the workers' leases expire in the meantime.
	unansweredTimeout = 1500 * time.Millisecond
)

var (
	droppedReports    = metrics.NewCounter("sycamoredeck_relay_reports_dropped_total")
	refusedReports    = metrics.NewCounter("sycamoredeck_relay_reports_refused_total")
	unansweredStreams = metrics.NewCounter("sycamoredeck_relay_streams_silent_total")
)

type (
	// Relay implements WorkerService.
	Relay struct {
		wire.UnimplementedWorkerServiceServer
		uplink  *uplink.Uplink
		clock   clockwork.Clock
		logger  *slog.Logger
		entryID string
		reports chan *wire.AttendRequest
		closing chan struct{}

		mu      sync.Mutex
		streams map[string]*workerStream // by worker ID
	}

	// workerStream is a worker's stream at this entry.
	workerStream struct {
		incarnation string
		answers     chan *wire.AttendResponse
	}
)

var _ wire.WorkerServiceServer = (*Relay)(nil)

// New returns a relay. Run connects it to the leader.
func New(entryID string, u *uplink.Uplink, clock clockwork.Clock, logger *slog.Logger) *Relay {
	return &Relay{
		uplink: u, clock: clock, logger: logger, entryID: entryID,
		reports: make(chan *wire.AttendRequest, reportQueueSize),
		closing: make(chan struct{}),
		streams: map[string]*workerStream{},
	}
}

// Close ends the workers' streams, so that they connect to other entries.
func (r *Relay) Close() { close(r.closing) }

// Attend serves the stream of one worker.
func (r *Relay) Attend(stream grpc.BidiStreamingServer[wire.AttendRequest, wire.AttendResponse]) error {
	ws := &workerStream{answers: make(chan *wire.AttendResponse, answerQueueSize)}
	received := make(chan error, 1)
	go func() { received <- r.receive(stream, ws) }()
	for {
		select {
		case err := <-received:
			return err
		case <-r.closing:
			return status.Error(codes.Unavailable, "this entry is stopping")
		case answer := <-ws.answers:
			if err := stream.Send(answer); err != nil {
				return err
			}
		}
	}
}

// receive reads the reports of one worker and queues them for the leader.
func (r *Relay) receive(stream grpc.BidiStreamingServer[wire.AttendRequest, wire.AttendResponse], ws *workerStream) error {
	var workerID string
	defer func() { r.unregister(workerID, ws) }()
	for {
		report, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := plan.CheckReport(report); err != nil {
			refusedReports.Inc()
			return status.Error(codes.InvalidArgument, err.Error())
		}
		if workerID != "" && workerID != report.Worker.WorkerId {
			refusedReports.Inc()
			return status.Error(codes.InvalidArgument, "Worker.WorkerId has changed within the stream")
		}
		workerID = report.Worker.WorkerId
		r.register(report, ws)
		select {
		case r.reports <- report:
		default:
			droppedReports.Inc()
		}
	}
}

func (r *Relay) register(report *wire.AttendRequest, ws *workerStream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ws.incarnation = report.Worker.Incarnation
	r.streams[report.Worker.WorkerId] = ws
}

func (r *Relay) unregister(workerID string, ws *workerStream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.streams[workerID] == ws {
		delete(r.streams, workerID)
	}
}

// Run maintains a stream to the leader until the context ends.
func (r *Relay) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if address := r.uplink.LeaderAddress(); address != "" {
			r.runStream(ctx, address)
		}
		select {
		case <-ctx.Done():
		case <-r.clock.After(reconnectDelay):
		}
	}
}

// runStream relays reports until the stream breaks, reports go unanswered for too long, or
// the leader changes.
func (r *Relay) runStream(ctx context.Context, leader string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := r.uplink.Leader()
	if err != nil {
		return
	}
	stream, err := wire.NewControlServiceClient(conn).RelayWorkers(ctx)
	if err != nil {
		return
	}
	answered := make(chan struct{}, 1)
	go func() {
		defer cancel()
		r.receiveAnswers(stream, answered)
	}()
	ticker := r.clock.NewTicker(leaderCheckInterval)
	defer ticker.Stop()
	var unanswered time.Time // when the oldest unanswered report was sent
	for {
		select {
		case <-ctx.Done():
			return
		case <-answered:
			unanswered = time.Time{}
		case <-ticker.Chan():
			if r.uplink.LeaderAddress() != leader {
				return
			}
			if !unanswered.IsZero() && r.clock.Since(unanswered) > unansweredTimeout {
				unansweredStreams.Inc()
				return
			}
		case first := <-r.reports:
			if unanswered.IsZero() {
				unanswered = r.clock.Now()
			}
			if stream.Send(&wire.RelayWorkersRequest{EntryId: r.entryID, Reports: r.batch(first)}) != nil {
				return
			}
		}
	}
}

// maxBatch bounds the number of reports in one message.
const maxBatch = 512

// batch returns first and the reports queued behind it, up to maxBatch in all.
func (r *Relay) batch(first *wire.AttendRequest) []*wire.AttendRequest {
	reports := []*wire.AttendRequest{first}
	for len(reports) < maxBatch {
		select {
		case report := <-r.reports:
			reports = append(reports, report)
		default:
			return reports
		}
	}
	return reports
}

func (r *Relay) receiveAnswers(stream grpc.BidiStreamingClient[wire.RelayWorkersRequest, wire.RelayWorkersResponse], answered chan struct{}) {
	for {
		response, err := stream.Recv()
		if err != nil {
			return
		}
		select {
		case answered <- struct{}{}:
		default:
		}
		for _, a := range response.Answers {
			r.forwardAnswer(a)
		}
	}
}

// forwardAnswer queues an answer for its worker, unless the worker has disconnected or
// restarted.
func (r *Relay) forwardAnswer(answer *wire.WorkerAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ws := r.streams[answer.WorkerId]
	if ws == nil || ws.incarnation != answer.Incarnation {
		return
	}
	select {
	case ws.answers <- answer.Answer:
	default: // the worker doesn't read; its next report is answered again
	}
}
