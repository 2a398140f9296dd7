// Package caller simulates callers under an open-loop load: requests are sent on schedule,
// whether or not earlier ones have been answered, and latency is measured from the
// scheduled time (no coordinated omission).
package caller

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"sycamoredeck.example/internal/front/route"
	"sycamoredeck.example/internal/model/front"
	"sycamoredeck.example/internal/model/server"
	"sycamoredeck.example/internal/schema/wire"
)

const (
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	// maxReasons limits the number of distinct reasons in a report. Once it is reached, no
	// more reasons are counted.
	maxReasons = 20
	// exactPacingRate is the rate in requests per second from which requests are sent at
	// their exact time by busy waiting.
	exactPacingRate = 500
	// maxOutstanding limits the number of requests in flight.
	maxOutstanding = 20000
)

type (
	// Options describes the load.
	Options struct {
		Entries          []string
		ClientAccount    string
		Service          string
		Rate             float64 // requests per second
		Duration         time.Duration
		Timeout          time.Duration
		PayloadBytes     int
		IdempotentShare  float64
		Seed             uint64
		Prefix           string // of request ids
		FollowRetryAfter bool
		MaxRetries       int
		Journal          *front.Journal
		// Connections is the number of connections to each entry; 0 means 1.
		Connections int
		// Direct is the address of a backend server to call without an entry, as a
		// baseline for measuring the overhead of entries.
		Direct string
	}

	// Report summarizes the outcomes. Latencies are those of completed requests.
	Report struct {
		Sent, Completed, NotRun, Unknown, Failed, Wrong, Skipped int64
		// Reasons counts the reasons for the outcomes "not run" and "unknown".
		Reasons map[string]int64
		// Errors holds the first few errors.
		Errors                      []string
		Attempts, Returns           int64
		Seconds, CompletedPerSecond float64
		P50Us, P90Us, P99Us, P999Us int64
		MaxUs                       int64
		NotRunP99Us                 int64
	}

	run struct {
		options   Options
		balancers []*front.Balancer
		direct    *fasthttp.HostClient
		payload   []byte

		mu      sync.Mutex
		report  Report
		latency *hdrhistogram.Histogram
		notRun  *hdrhistogram.Histogram
	}
)

// Run generates the load and waits for all responses.
func Run(ctx context.Context, options Options) (*Report, error) {
	r := &run{
		options: options, payload: bytes.Repeat([]byte("x"), options.PayloadBytes),
		latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits), notRun: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
	}
	if options.Direct != "" {
		r.direct = &fasthttp.HostClient{Addr: options.Direct, MaxConns: maxOutstanding}
	} else if err := r.connect(ctx); err != nil {
		return nil, err
	}
	defer r.close()
	began := time.Now()
	r.sendAll(ctx, began)
	r.report.Seconds = time.Since(began).Seconds()
	return r.summarize(), nil
}

// waitUntil sleeps until due. At high rates it spins for the last two milliseconds, since
// the resolution of timers would turn the load into bursts.
func (r *run) waitUntil(due time.Time) {
	if r.options.Rate < exactPacingRate {
		time.Sleep(time.Until(due))
		return
	}
	time.Sleep(time.Until(due) - 2*time.Millisecond)
	for time.Now().Before(due) {
		runtime.Gosched()
	}
}

func (r *run) connect(ctx context.Context) error {
	for range max(r.options.Connections, 1) {
		b, err := front.New(r.options.Entries)
		if err != nil {
			return err
		}
		r.balancers = append(r.balancers, b)
		if _, err := b.Wait(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) close() {
	for _, b := range r.balancers {
		b.Close()
	}
}

// sendAll sends requests with exponentially distributed intervals (a Poisson process).
func (r *run) sendAll(ctx context.Context, began time.Time) {
	random := rand.New(rand.NewPCG(r.options.Seed, 2))
	var group sync.WaitGroup
	tokens := make(chan struct{}, maxOutstanding)
	due := began
	for i := 0; due.Sub(began) < r.options.Duration && ctx.Err() == nil; i++ {
		r.waitUntil(due)
		idempotent := random.Float64() < r.options.IdempotentShare
		select {
		case tokens <- struct{}{}:
			at, id := due, fmt.Sprintf("%s-%d", r.options.Prefix, i)
			group.Go(func() {
				defer func() { <-tokens }()
				r.sendWithRetries(ctx, id, idempotent, at)
			})
		default:
			r.update(func(s *Report) { s.Skipped++ })
		}
		due = due.Add(time.Duration(random.ExpFloat64() / r.options.Rate * float64(time.Second)))
	}
	group.Wait()
}

// sendWithRetries sends a request, and retries it after "not run" if configured.
func (r *run) sendWithRetries(ctx context.Context, id string, idempotent bool, due time.Time) {
	r.update(func(s *Report) { s.Sent++ })
	for n := 0; ; n++ {
		response, err := r.send(ctx, id, idempotent)
		if err != nil {
			r.recordError(err, idempotent)
			return
		}
		if response.Outcome == wire.Outcome_OUTCOME_NOT_RUN && r.options.FollowRetryAfter && n < r.options.MaxRetries {
			r.update(func(s *Report) { s.Returns++ })
			time.Sleep(response.RetryAfter.AsDuration())
			continue
		}
		r.recordResponse(id, response, time.Since(due))
		return
	}
}

func (r *run) send(ctx context.Context, id string, idempotent bool) (*wire.CallResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Timeout+5*time.Second)
	defer cancel()
	request := &wire.CallRequest{
		RequestId: id, ClientAccount: r.options.ClientAccount, Service: r.options.Service,
		Payload: r.payload, Timeout: durationpb.New(r.options.Timeout), Idempotent: idempotent,
	}
	if r.direct != nil {
		return r.sendDirect(id)
	}
	balancer := r.balancers[rand.IntN(len(r.balancers))]
	for {
		conn, err := balancer.Wait(ctx)
		if err != nil {
			return nil, err
		}
		response, err := wire.NewCallerServiceClient(conn).Call(ctx, request)
		// An idempotent request whose entry failed is sent again to any ready entry.
		if status.Code(err) == codes.Unavailable && idempotent && ctx.Err() == nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		return response, err
	}
}

// sendDirect calls the backend server in the same way as an entry.
func (r *run) sendDirect(id string) (*wire.CallResponse, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + r.options.Direct + "/" + r.options.Service)
	request.Header.Set(route.HeaderRequestID, id)
	request.SetBodyRaw(r.payload)
	if err := r.direct.DoTimeout(request, response, r.options.Timeout); err != nil {
		return nil, err
	}
	return &wire.CallResponse{
		RequestId: id, Outcome: wire.Outcome_OUTCOME_COMPLETED, Attempts: 1,
		Payload: append([]byte(nil), response.Body()...),
	}, nil
}

func (r *run) recordError(err error, idempotent bool) {
	r.update(func(s *Report) {
		if !idempotent && status.Code(err) == codes.Unavailable {
			s.Unknown++ // the entry failed before it returned the outcome
			return
		}
		s.Failed++
		if len(s.Errors) < 5 {
			s.Errors = append(s.Errors, err.Error())
		}
	})
}

func (r *run) recordResponse(id string, response *wire.CallResponse, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Attempts += int64(response.Attempts)
	us := max(latency.Microseconds(), 1)
	switch response.Outcome {
	case wire.Outcome_OUTCOME_COMPLETED:
		r.report.Completed++
		_ = r.latency.RecordValue(min(us, maxLatencyMicros))
		if response.RequestId != id || !bytes.Equal(response.Payload, server.ResponseBody(id, r.payload)) {
			r.report.Wrong++
		}
		r.options.Journal.Add("completed", id, 0, 0)
	case wire.Outcome_OUTCOME_NOT_RUN:
		r.report.NotRun++
		r.countReason(response.Reason)
		_ = r.notRun.RecordValue(min(us, maxLatencyMicros))
		r.options.Journal.Add("not-run", id, 0, 0)
	default:
		r.report.Unknown++
		r.countReason(response.Reason)
		r.options.Journal.Add("unknown", id, 0, 0)
	}
}

func (r *run) countReason(text string) {
	if r.report.Reasons == nil {
		r.report.Reasons = map[string]int64{}
	}
	if len(r.report.Reasons) < maxReasons {
		r.report.Reasons[text]++
	}
}

func (r *run) update(f func(*Report)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.report)
}

func (r *run) summarize() *Report {
	s := r.report
	s.CompletedPerSecond = float64(s.Completed) / s.Seconds
	s.P50Us, s.P90Us = r.latency.ValueAtQuantile(50), r.latency.ValueAtQuantile(90)
	s.P99Us, s.P999Us = r.latency.ValueAtQuantile(99), r.latency.ValueAtQuantile(99.9)
	s.MaxUs = r.latency.Max()
	s.NotRunP99Us = r.notRun.ValueAtQuantile(99)
	return &s
}
