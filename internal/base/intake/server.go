// This file defines Serve, which serves HTTP to callers that aren't trusted.

// Package intake serves HTTP within limits on what callers may send and hold, and applies
// such limits to the gRPC port of a process.
//
// The limits apply before memory is taken: to the connections of a server, to the header
// and the body of a request, and to what all requests of the process hold together. What
// exceeds them is refused before it is handled, so a refused request was not executed.
package intake

import (
	"errors"
	"log/slog"
	"net"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"sycamoredeck.example/internal/base/memory"
	"sycamoredeck.example/internal/schema/wire"
)

const (
	// BodyOfNone is the largest body of a request that needs none.
	BodyOfNone = 4 << 10
	// requestLineBytes is added to the limit on headers for the request line.
	requestLineBytes = 4 << 10
	// idleTimeout is how long a connection without requests is kept open.
	idleTimeout = 60 * time.Second
	// retryAfter is when a refused caller should return, in seconds. Room becomes free
	// within memory.Patience.
	retryAfter = "1"

	defaultHeaderBytes = 16 << 10
	defaultTimeout     = 10 * time.Second
)

var (
	connectionsOpen    = metrics.NewGauge("sycamoredeck_web_connections", nil)
	connectionsRefused = metrics.NewCounter("sycamoredeck_web_connections_refused_total")
	connectionsRevoked = metrics.NewCounter("sycamoredeck_web_connections_revoked_total")
	requestsRevoked    = metrics.NewCounter("sycamoredeck_web_requests_revoked_total")

	bodiesTooLarge  = metrics.NewCounter(`sycamoredeck_web_requests_refused_total{reason="body_too_large"}`)
	headersTooLarge = metrics.NewCounter(`sycamoredeck_web_requests_refused_total{reason="header_too_large"}`)
	requestsNoRoom  = metrics.NewCounter(`sycamoredeck_web_requests_refused_total{reason="no_room"}`)
	requestsTooSlow = metrics.NewCounter(`sycamoredeck_web_requests_refused_total{reason="too_slow"}`)
)

type (
	// Allowance is what a request may hold.
	Allowance struct {
		// Body is the size of its body, in bytes.
		Body int
		// Copies is how many times the size of its body the request holds beyond it until
		// it is answered.
		Copies int
	}

	// Limits are those of a server. Budget and Connections are required.
	Limits struct {
		// Budget is shared by all servers of the process.
		Budget *memory.Budget
		// Connections is the number of connections that may be open.
		Connections int
		// HeaderBytes limits a header without the request line; 16 KiB if 0.
		HeaderBytes int
		// ReadTimeout limits the time to receive a request, and WriteTimeout that to send
		// its answer. 10 s if 0.
		ReadTimeout, WriteTimeout time.Duration
		// Logger may be nil.
		Logger *slog.Logger
	}

	// Options configure a server. Handler is required.
	Options struct {
		// Handler answers requests that are within the limits. Their bodies were read.
		Handler fasthttp.RequestHandler
		// Allow returns what a request may hold, by its header. Nil allows no bodies.
		Allow  func(*fasthttp.RequestHeader) Allowance
		Limits Limits
	}

	server struct {
		options Options
		http    *fasthttp.Server
	}

	// quietLogger drops the messages of the HTTP server, which it writes for each
	// connection of a faulty caller.
	quietLogger struct{}
)

var (
	errTooLarge = errors.New("the body is too large")
	errNoRoom   = errors.New("too many requests are in work")
)

var _ fasthttp.Logger = quietLogger{}

// Printf does nothing.
func (quietLogger) Printf(string, ...any) {}

// Serve starts a server on an address. The returned function stops it and waits for
// requests in progress. An empty address starts no server.
func Serve(address string, options Options) (stop func(), err error) {
	if address == "" {
		return func() {}, nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return ServeListener(listener, options), nil
}

// ServeListener does the same on a listener.
func ServeListener(listener net.Listener, options Options) (stop func()) {
	limits := options.Limits
	s := &server{options: options}
	s.http = &fasthttp.Server{
		Handler: s.handle, ErrorHandler: s.handleError, ExpectHandler: s.handleExpect, ConnState: changeState,
		NoDefaultServerHeader: true, NoDefaultDate: true, CloseOnShutdown: true, Logger: quietLogger{},
		ReadBufferSize: orDefault(limits.HeaderBytes, defaultHeaderBytes) + requestLineBytes,
		IdleTimeout:    idleTimeout, ReadTimeout: orDefault(limits.ReadTimeout, defaultTimeout), WriteTimeout: orDefault(limits.WriteTimeout, defaultTimeout),
		// Bodies are read by readBody. One byte is read before, and forms aren't parsed.
		StreamRequestBody: true, MaxRequestBodySize: 1, DisablePreParseMultipartForm: true,
		// Connections that have sent nothing hold no buffers.
		ReduceMemoryUsage: true,
	}
	table := &connTable{
		Listener: listener, limit: limits.Connections, budget: limits.Budget, patience: memory.Patience, answer: refusal,
		logger: limits.Logger, gauge: connectionsOpen, refused: connectionsRefused, revokes: connectionsRevoked,
	}
	go s.http.Serve(table)
	return func() { s.http.Shutdown() }
}

// WithConnections returns the limits with another number of connections.
func (l Limits) WithConnections(n int) Limits {
	l.Connections = n
	return l
}

// NewLimits returns the limits of a process with the given settings, memory and number of
// descriptors for connections of callers.
func NewLimits(s *wire.WebSettings, limit memory.Limit, descriptors int, logger *slog.Logger) Limits {
	l := Limits{
		Budget:      &memory.Budget{Limit: limit.Requests()},
		Connections: min(limit.Connections(), descriptors),
		HeaderBytes: int(s.GetMaxHeaderBytes()),
		ReadTimeout: s.GetRequestTimeout().AsDuration(), WriteTimeout: s.GetAnswerTimeout().AsDuration(),
		Logger: logger,
	}
	if s.GetRequestMemoryMb() > 0 {
		l.Budget.Limit = int64(memory.NewLimit(s.RequestMemoryMb))
	}
	if s.GetMaxConnections() > 0 {
		l.Connections = int(s.MaxConnections)
	}
	return l
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

// handle reads the body of a request and passes it to the handler.
func (s *server) handle(r *fasthttp.RequestCtx) {
	c, ok := r.Conn().(*conn)
	if !ok {
		r.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	body, err := s.readBody(c, r)
	if err != nil {
		s.refuse(r, err)
		return
	}
	if body != nil {
		r.Request.SetBodyRaw(body)
	}
	if !c.finishRequest() {
		s.refuse(r, errNoRoom)
		return
	}
	s.options.Handler(r)
}

// handleExpect answers a caller that asks before it sends its body.
func (s *server) handleExpect(r *fasthttp.RequestCtx) int {
	if r.Request.Header.ContentLength() > s.allowance(&r.Request.Header).Body {
		bodiesTooLarge.Inc()
		return fasthttp.StatusRequestEntityTooLarge
	}
	return fasthttp.StatusContinue
}

func (s *server) allowance(h *fasthttp.RequestHeader) Allowance {
	if s.options.Allow == nil {
		return Allowance{Body: BodyOfNone}
	}
	a := s.options.Allow(h)
	// What can never fit must not be told to return.
	a.Body = min(a.Body, int(s.options.Limits.Budget.MaxRequest()/int64(1+a.Copies))-h.Len())
	return a
}

// handleError answers a request whose header can't be read.
func (s *server) handleError(r *fasthttp.RequestCtx, err error) { s.refuse(r, err) }

// refuse answers a request that wasn't handled, and closes its connection.
func (s *server) refuse(r *fasthttp.RequestCtx, err error) {
	c, ok := r.Conn().(*conn)
	if ok {
		c.leaveUnread()
	}
	var small *fasthttp.ErrSmallBuffer
	var network net.Error
	code := fasthttp.StatusBadRequest
	switch {
	case errors.Is(err, errTooLarge):
		bodiesTooLarge.Inc()
		code = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &small):
		headersTooLarge.Inc()
		code = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errNoRoom), ok && c.isRevoked():
		requestsNoRoom.Inc()
		code, err = fasthttp.StatusServiceUnavailable, errNoRoom
		r.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfter)
	case errors.As(err, &network) && network.Timeout():
		requestsTooSlow.Inc()
		code = fasthttp.StatusRequestTimeout
	}
	r.SetStatusCode(code)
	r.SetContentType("application/json")
	r.SetBodyString(`{"error":` + strconv.Quote(shorten(err.Error())) + `}`)
	r.SetConnectionClose()
}

// shorten cuts a message that quotes what the caller has sent.
func shorten(message string) string {
	const maxBytes = 200
	return message[:min(len(message), maxBytes)]
}
