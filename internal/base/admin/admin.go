// This file defines Server, which serves HTTP for operators' tools, and Logger.

// Package admin serves /metrics, /healthz and /readyz, and creates the logger.
package admin

import (
	"io"
	"log/slog"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"sycamoredeck.example/internal/base/intake"
	"sycamoredeck.example/internal/schema/wire"
)

// maxConnections is enough for the tools of an operator.
const maxConnections = 32

// Server serves metrics, liveness and readiness. The zero value is not ready and
// does not listen until Start is called.
type Server struct {
	ready atomic.Bool
	stop  func()
}

// SetReady sets whether the process is reported as ready for callers.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Ready returns the value last passed to SetReady.
func (s *Server) Ready() bool { return s.ready.Load() }

// Start listens on address. It does nothing if address is empty.
func (s *Server) Start(address string, limits intake.Limits) (err error) {
	s.stop, err = intake.Serve(address, intake.Options{Handler: s.handle, Limits: limits.WithConnections(maxConnections)})
	return err
}

// Close stops the server.
func (s *Server) Close() {
	if s.stop != nil {
		s.stop()
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

// Logger returns a logger with the level and format of the settings, and a function
// that flushes it. Logging never blocks; see AsyncWriter.
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
