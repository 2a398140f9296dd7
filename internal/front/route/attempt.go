// This file defines a single attempt: one HTTP/1.1 request and its response.

package route

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"

	"sycamoredeck.example/internal/base/spans"
)

// Headers of the protocol between entries and backend servers.
const (
	HeaderRequestID     = "Sycamoredeck-Request-Id"
	HeaderClientAccount = "Sycamoredeck-Client-Account"
	HeaderTimeout       = "Sycamoredeck-Timeout-Ms"
	// HeaderNotRun marks a response to a request that was rejected without being run.
	HeaderNotRun = "Sycamoredeck-Not-Run"
	// HeaderLeaving marks a response of a backend server that is shutting down.
	HeaderLeaving = "Sycamoredeck-Leaving"
)

// lateResponseTimeout bounds the wait for a response whose deadline has passed. After it
// the connection is closed and the slot released. A backend server that hangs for so long
// has been ejected by then.
const lateResponseTimeout = 30 * time.Second

// Errors of attempts that returned no complete response.
var (
	// ErrNotRun reports that the request was not run: no byte of it was sent, or the
	// backend server rejected it.
	ErrNotRun = errors.New("not run by the backend server")
	// ErrUnknown reports that bytes were sent but no complete response was received.
	ErrUnknown = errors.New("no whole answer from the backend server")
)

type (
	// Request is a request to a backend server.
	Request struct {
		ID, Account, Service string
		Payload              []byte
		Deadline             time.Time
		Idempotent           bool
		MaxResponseBytes     int
	}

	// Response is the complete response of a backend server.
	Response struct {
		Status  int
		Payload []byte
		Leaving bool
	}
)

// Do sends the request and reads the complete response. The error wraps ErrNotRun or
// ErrUnknown. The caller holds a slot. If late isn't nil, the caller must call it and
// keep the slot until it returns.
//
// The function late waits for a response whose deadline has passed, and reports whether it
// arrived. The backend server may still be processing the request, so that releasing the
// slot at the deadline would admit more requests than the backend server can run.
func (b *Backend) Do(ctx context.Context, now time.Time, r Request) (response Response, late func() bool, err error) {
	ctx, span := spans.StartSpan(ctx, "attempt", attribute.String("backend_server", b.ID()))
	defer span.End()
	c, err := b.connect(now, r.Deadline, !r.Idempotent)
	if err != nil {
		return Response{}, nil, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	if err := c.send(ctx, b.announcement.Address, r); err != nil {
		c.Close()
		return Response{}, nil, err
	}
	if _, err := c.reader.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
		return Response{}, func() bool { return b.awaitLateResponse(c, r) }, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	response, reusable, err := c.readResponse(r)
	b.recycle(c, reusable, now)
	return response, nil, err
}

// awaitLateResponse reads and discards a response whose deadline has passed, and reports
// whether it was complete.
func (b *Backend) awaitLateResponse(c *connection, r Request) bool {
	if c.SetDeadline(time.Now().Add(lateResponseTimeout)) != nil {
		b.recycle(c, false, time.Now())
		return false
	}
	_, reusable, err := c.readResponse(r)
	b.recycle(c, reusable, time.Now())
	return err == nil
}

// recycle returns a connection to the idle pool if it is reusable, and closes it
// otherwise: an outstanding or malformed response would be read by the next request.
func (b *Backend) recycle(c *connection, reusable bool, now time.Time) {
	if reusable {
		b.pushIdle(c, now)
		return
	}
	c.Close()
}

func (c *connection) send(ctx context.Context, host string, r Request) error {
	if err := c.SetDeadline(r.Deadline); err != nil {
		return fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	sent, err := c.write(ctx, host, r)
	switch {
	case err == nil:
		return nil
	case sent:
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	default:
		return fmt.Errorf("%w: %w", ErrNotRun, err)
	}
}

// write sends the request and reports whether any byte was handed to the kernel.
func (c *connection) write(ctx context.Context, host string, r Request) (bool, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("/" + r.Service)
	request.Header.SetHost(host)
	request.Header.Set(HeaderRequestID, r.ID)
	request.Header.Set(HeaderClientAccount, r.Account)
	request.Header.Set(HeaderTimeout, strconv.FormatInt(max(time.Until(r.Deadline).Milliseconds(), 1), 10))
	spans.Inject(ctx, request.Header.Set)
	request.SetBodyRaw(r.Payload)
	before := c.bytesWritten()
	err := request.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	return c.bytesWritten() > before, err
}

// bytesWritten returns the number of bytes handed to the kernel.
func (c *connection) bytesWritten() int64 {
	if counter, ok := c.Conn.(*countingConn); ok {
		return counter.written
	}
	return 0
}

func (c *connection) readResponse(r Request) (Response, bool, error) {
	received := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(received)
	if err := received.ReadLimitBody(c.reader, r.MaxResponseBytes); err != nil {
		return Response{}, false, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	if got := string(received.Header.Peek(HeaderRequestID)); got != r.ID {
		return Response{}, false, fmt.Errorf("%w: the answer is to request %q", ErrUnknown, got)
	}
	if received.Header.ContentLength() == identityContentLength {
		// Such a body ends with the connection, so that a truncated one looks complete.
		return Response{}, false, fmt.Errorf("%w: the answer has no length", ErrUnknown)
	}
	reusable := !received.ConnectionClose() && c.reader.Buffered() == 0
	response := Response{
		Status:  received.StatusCode(),
		Payload: append([]byte(nil), received.Body()...),
		Leaving: len(received.Header.Peek(HeaderLeaving)) > 0,
	}
	if len(received.Header.Peek(HeaderNotRun)) > 0 {
		return response, reusable, fmt.Errorf("%w: refused", ErrNotRun)
	}
	return response, reusable, nil
}

// identityContentLength is the length that fasthttp reports for a body without a length.
const identityContentLength = -2

// countingConn counts written bytes: a request may be reported as not run only if none
// of its bytes were sent.
type countingConn struct {
	net.Conn
	written int64
}

// Write implements net.Conn and counts the bytes written.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}
