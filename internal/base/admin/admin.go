// This file defines the HTTP server for operators' tools, and the logger.

// Package admin serves /metrics, /healthz and /readyz and makes the logger.
package admin

import (
	"io"
	"log/slog"
	"net"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"sycamoredeck.example/internal/schema/wire"
)

// Server tells whether the process lives and is ready. The zero value is not
// ready and serves nothing until Start.
type Server struct {
	ready  atomic.Bool
	server *fasthttp.Server
}

// SetReady says whether the balancer should send callers here.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Ready tells what SetReady said last.
func (s *Server) Ready() bool { return s.ready.Load() }

// Start serves on address; an empty one serves nothing.
func (s *Server) Start(address string) error {
	if address == "" {
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	s.server = &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true}
	go s.server.Serve(listener)
	return nil
}

// Close stops serving.
func (s *Server) Close() {
	if s.server != nil {
		s.server.Shutdown()
	}
}

func (s *Server) handle(c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case "/metrics":
		c.SetContentType("text/plain; charset=utf-8")
		metrics.WritePrometheus(c, true)
	case "/healthz":
		c.WriteString("ok\n")
	case "/readyz":
		if !s.Ready() {
			c.Error("not ready\n", fasthttp.StatusServiceUnavailable)
			return
		}
		c.WriteString("ready\n")
	default:
		c.Error("not found\n", fasthttp.StatusNotFound)
	}
}

// Logger makes the logger that the settings ask for, and how to write out what
// it still holds. It never blocks: see Lines.
func Logger(w io.Writer, s *wire.CommonSettings) (*slog.Logger, func()) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		level = slog.LevelInfo
	}
	options := &slog.HandlerOptions{Level: level}
	lines := NewAsyncWriter(w)
	var handler slog.Handler = slog.NewTextHandler(lines, options)
	if s.LogFormat == "json" {
		handler = slog.NewJSONHandler(lines, options)
	}
	return slog.New(handler).With("instance", s.InstanceId, "failure_domain", s.FailureDomain), lines.Close
}
