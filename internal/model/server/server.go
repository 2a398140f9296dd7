// Package server simulates a backend server, which announces itself to entries, serves
// HTTP/1.1 requests in its slots, and injects faults.
package server

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"sycamoredeck.example/internal/front/route"
	"sycamoredeck.example/internal/model/front"
	"sycamoredeck.example/internal/schema/wire"
)

type (
	// Faults describes the injected faults. The zero value injects none.
	Faults struct {
		// Slow multiplies the service time; 0 means 1.
		Slow float64
		// NoiseFactor multiplies the service time during the second half of each
		// NoisePeriod.
		NoisePeriod time.Duration
		NoiseFactor float64
		// Shares of requests that are refused, never answered, answered with a
		// truncated body, or answered under another id.
		Refuse, Hang, Short, Mismatch float64
	}

	// Options configures a server.
	Options struct {
		Announcement *wire.Announcement
		Entries      []string
		Listen       string
		// ServiceTime is the mean service time, of which one half is constant and one
		// half exponentially distributed.
		ServiceTime time.Duration
		// Delay is the simulated network delay in each direction.
		Delay   time.Duration
		Faults  Faults
		Journal *front.Journal
		Seed    uint64
	}

	// Stats counts what a server has observed.
	Stats struct {
		Served, Refused, Hung, AfterLeaving int64
		MaxInFlight, MaxConnections         int64
	}

	// Server is a running backend server.
	Server struct {
		options         Options
		startedAt       time.Time
		leaving         atomic.Bool
		leavingSince    atomic.Int64
		inFlight        atomic.Int64
		openConnections atomic.Int64
		stats           struct{ served, refused, hung, late, maxInFlight, maxOpen atomic.Int64 }
		mu              sync.Mutex
		random          *rand.Rand
		http            *fasthttp.Server
	}
)

// Add returns the sums of the counters and the larger of each maximum.
func (s Stats) Add(o Stats) Stats {
	return Stats{
		Served: s.Served + o.Served, Refused: s.Refused + o.Refused, Hung: s.Hung + o.Hung,
		AfterLeaving: s.AfterLeaving + o.AfterLeaving,
		MaxInFlight:  max(s.MaxInFlight, o.MaxInFlight), MaxConnections: max(s.MaxConnections, o.MaxConnections),
	}
}

// leavingGrace is how long a server may receive new requests after it has announced that
// it is leaving.
const leavingGrace = 3 * time.Second

// Run serves until ctx is done, leaves, and returns the statistics.
func Run(ctx context.Context, options Options, leaveTime time.Duration) (Stats, error) {
	s := &Server{options: options, startedAt: time.Now(), random: rand.New(rand.NewPCG(options.Seed, 1))}
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return Stats{}, err
	}
	s.http = &fasthttp.Server{
		Handler: s.handle, NoDefaultServerHeader: true, MaxRequestBodySize: 64 << 20,
		ConnState: s.countConnections, CloseOnShutdown: true,
	}
	go s.http.Serve(listener)
	announcing, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.announce(announcing)
	<-ctx.Done()
	s.leavingSince.Store(time.Now().UnixNano())
	s.leaving.Store(true)
	time.Sleep(leaveTime)
	cancel()
	if err := s.http.Shutdown(); err != nil {
		return Stats{}, err
	}
	return s.result(), nil
}

func (s *Server) result() Stats {
	return Stats{
		Served: s.stats.served.Load(), Refused: s.stats.refused.Load(), Hung: s.stats.hung.Load(),
		AfterLeaving: s.stats.late.Load(), MaxInFlight: s.stats.maxInFlight.Load(), MaxConnections: s.stats.maxOpen.Load(),
	}
}

func (s *Server) countConnections(_ net.Conn, state fasthttp.ConnState) {
	switch state {
	case fasthttp.StateNew:
		storeMax(&s.stats.maxOpen, s.openConnections.Add(1))
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		s.openConnections.Add(-1)
	default:
	}
}

func storeMax(top *atomic.Int64, value int64) {
	for {
		old := top.Load()
		if value <= old || top.CompareAndSwap(old, value) {
			return
		}
	}
}

func (s *Server) handle(c *fasthttp.RequestCtx) {
	id := string(c.Request.Header.Peek(route.HeaderRequestID))
	c.Response.Header.Set(route.HeaderRequestID, id)
	if s.leaving.Load() {
		c.Response.Header.Set(route.HeaderLeaving, "1")
		if time.Since(time.Unix(0, s.leavingSince.Load())) > leavingGrace {
			s.stats.late.Add(1)
		}
	}
	inFlight := s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	storeMax(&s.stats.maxInFlight, inFlight)
	if inFlight > int64(s.options.Announcement.Slots) || s.draw(s.options.Faults.Refuse) {
		s.stats.refused.Add(1)
		c.Response.Header.Set(route.HeaderNotRun, "1")
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	s.execute(c, id)
}

func (s *Server) execute(c *fasthttp.RequestCtx, id string) {
	s.options.Journal.Add("run", id, 0, 0)
	if s.draw(s.options.Faults.Hang) {
		s.stats.hung.Add(1)
		time.Sleep(time.Minute)
	}
	time.Sleep(s.serviceTime() + 2*s.options.Delay)
	s.stats.served.Add(1)
	body := ResponseBody(id, c.Request.Body())
	if s.draw(s.options.Faults.Mismatch) {
		c.Response.Header.Set(route.HeaderRequestID, id+"-other")
	}
	if s.draw(s.options.Faults.Short) {
		// Sends only half of the announced content length.
		c.SetBodyStream(io.LimitReader(bytes.NewReader(body), int64(len(body)/2)), len(body))
		c.SetConnectionClose()
		return
	}
	c.SetBody(body)
}

// ResponseBody returns the expected body of a complete response.
func ResponseBody(id string, payload []byte) []byte {
	answer := make([]byte, 0, 2*len(id)+len(payload)+2)
	answer = append(append(answer, id...), '|')
	answer = append(append(answer, payload...), '|')
	return append(answer, id...)
}

// draw returns true with the given probability.
func (s *Server) draw(probability float64) bool {
	if probability <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < probability
}

func (s *Server) serviceTime() time.Duration {
	if s.options.ServiceTime == 0 {
		return 0
	}
	s.mu.Lock()
	random := s.random.ExpFloat64()
	s.mu.Unlock()
	t := float64(s.options.ServiceTime) * (0.5 + 0.5*random)
	f := s.options.Faults
	if f.Slow > 0 {
		t *= f.Slow
	}
	if f.NoisePeriod > 0 && time.Since(s.startedAt)%f.NoisePeriod > f.NoisePeriod/2 {
		t *= f.NoiseFactor
	}
	return time.Duration(t)
}
