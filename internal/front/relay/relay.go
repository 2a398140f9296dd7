// This file defines Relay, which passes workers' reports to the leader.

// Package relay lets workers attend at any entry: their reports go to the
// control leader on one stream, and the answers come back to each.
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
	// reportQueueSize bounds what waits for the leader. A report that is
	// dropped is followed by a newer one within a second.
	reportQueueSize = 8192
	answerQueueSize = 64
	reconnectDelay  = 50 * time.Millisecond
	// leaderCheckInterval is how often a stream looks whether it goes to the leader.
	leaderCheckInterval = 100 * time.Millisecond
	// unansweredTimeout is how long reports may go unanswered before the stream is
	// given up: workers' leases run out while it is silent.
	unansweredTimeout = 1500 * time.Millisecond
)

var (
	droppedReports    = metrics.NewCounter("sycamoredeck_relay_reports_dropped_total")
	refusedReports    = metrics.NewCounter("sycamoredeck_relay_reports_refused_total")
	unansweredStreams = metrics.NewCounter("sycamoredeck_relay_streams_silent_total")
)

type (
	// Relay serves WorkerService. It is made by New.
	Relay struct {
		wire.UnimplementedWorkerServiceServer
		uplink  *uplink.Uplink
		clock   clockwork.Clock
		logger  *slog.Logger
		entryID string
		reports chan *wire.AttendRequest
		closing chan struct{}

		mu      sync.Mutex
		streams map[string]*workerStream
	}

	// workerStream is one worker's stream at this entry.
	workerStream struct {
		incarnation string
		answers     chan *wire.AttendResponse
	}
)

var _ wire.WorkerServiceServer = (*Relay)(nil)

// New returns a relay; Run connects it.
func New(entryID string, u *uplink.Uplink, clock clockwork.Clock, logger *slog.Logger) *Relay {
	return &Relay{
		uplink: u, clock: clock, logger: logger, entryID: entryID,
		reports: make(chan *wire.AttendRequest, reportQueueSize),
		closing: make(chan struct{}),
		streams: map[string]*workerStream{},
	}
}

// Close ends the workers' streams; they attend elsewhere.
func (r *Relay) Close() { close(r.closing) }

// Attend hears one worker until its stream ends.
func (r *Relay) Attend(stream grpc.BidiStreamingServer[wire.AttendRequest, wire.AttendResponse]) error {
	a := &workerStream{answers: make(chan *wire.AttendResponse, answerQueueSize)}
	received := make(chan error, 1)
	go func() { received <- r.receive(stream, a) }()
	for {
		select {
		case err := <-received:
			return err
		case <-r.closing:
			return status.Error(codes.Unavailable, "this entry is stopping")
		case answer := <-a.answers:
			if err := stream.Send(answer); err != nil {
				return err
			}
		}
	}
}

func (r *Relay) receive(stream grpc.BidiStreamingServer[wire.AttendRequest, wire.AttendResponse], a *workerStream) error {
	var worker string
	defer func() { r.unregister(worker, a) }()
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
		if worker != "" && worker != report.Worker.WorkerId {
			refusedReports.Inc()
			return status.Error(codes.InvalidArgument, "Worker.WorkerId has changed within the stream")
		}
		worker = report.Worker.WorkerId
		r.register(report, a)
		select {
		case r.reports <- report:
		default:
			droppedReports.Inc()
		}
	}
}

func (r *Relay) register(report *wire.AttendRequest, a *workerStream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.incarnation = report.Worker.Incarnation
	r.streams[report.Worker.WorkerId] = a
}

func (r *Relay) unregister(worker string, a *workerStream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.streams[worker] == a {
		delete(r.streams, worker)
	}
}

// Run keeps a stream to the leader until the context ends.
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

// runStream relays until the stream breaks, goes silent, or another leads.
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
	var unanswered time.Time // when the first report without an answer was sent
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

// maxBatch bounds the reports of one message.
const maxBatch = 512

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
		for _, answer := range response.Answers {
			r.forwardAnswer(answer)
		}
	}
}

func (r *Relay) forwardAnswer(answer *wire.WorkerAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.streams[answer.WorkerId]
	if a == nil || a.incarnation != answer.Incarnation {
		return
	}
	select {
	case a.answers <- answer.Answer:
	default: // a worker that doesn't read; its next report is answered anew
	}
}
