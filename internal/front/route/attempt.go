// This file defines one attempt: an HTTP/1.1 request and its whole answer.

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

// The headers of the protocol towards backend servers.
const (
	HeaderRequestID     = "Sycamoredeck-Request-Id"
	HeaderClientAccount = "Sycamoredeck-Client-Account"
	HeaderTimeout       = "Sycamoredeck-Timeout-Ms"
	// HeaderNotRun on an answer says that the request was refused and not run.
	HeaderNotRun = "Sycamoredeck-Not-Run"
	// HeaderLeaving on an answer says that the backend server is leaving.
	HeaderLeaving = "Sycamoredeck-Leaving"
)

// lateResponseTimeout is how long a late answer is waited for before the connection is
// closed and the slot given back; a backend server that has hung for so long
// is ejected by then.
const lateResponseTimeout = 30 * time.Second

// What an attempt without a whole answer means.
var (
	// ErrNotRun: surely not run; no byte was sent, or it was refused.
	ErrNotRun = errors.New("not run by the backend server")
	// ErrUnknown: bytes were sent and no whole answer came back.
	ErrUnknown = errors.New("no whole answer from the backend server")
)

type (
	// Request is what is sent to a backend server.
	Request struct {
		ID, Account, Service string
		Payload              []byte
		Deadline             time.Time
		Idempotent           bool
		MaxResponseBytes     int
	}

	// Answer is a backend server's whole answer.
	Response struct {
		Status  int
		Payload []byte
		Leaving bool
	}
)

// Do sends the request and reads the whole answer. The error wraps ErrNotRun
// or ErrUnknown. The caller holds a slot, and must keep it until late, where
// that isn't nil, has returned. Late tells whether the answer came at last.
//
// Late waits for an answer whose deadline has passed. The backend server may
// still be working on it: a slot given back at the deadline would let another
// request in beside it, beyond what the backend server can run.
func (b *Backend) Do(ctx context.Context, now time.Time, r Request) (answer Response, late func() bool, err error) {
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
	answer, reusable, err := c.readResponse(r)
	b.recycle(c, reusable, now)
	return answer, nil, err
}

// linger waits for a late answer, which nobody wants any more.
func (b *Backend) awaitLateResponse(c *connection, r Request) bool {
	if c.SetDeadline(time.Now().Add(lateResponseTimeout)) != nil {
		b.recycle(c, false, time.Now())
		return false
	}
	_, reusable, err := c.readResponse(r)
	b.recycle(c, reusable, time.Now())
	return err == nil
}

// keep takes a connection back. One with an answer still due, or one that made
// no sense, would hand that answer to the next request, and is closed.
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

// write sends the request, and tells whether any byte may have left.
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

// counted is the number of bytes that were handed to the kernel.
func (c *connection) bytesWritten() int64 {
	if counter, ok := c.Conn.(*countingConn); ok {
		return counter.written
	}
	return 0
}

func (c *connection) readResponse(r Request) (Response, bool, error) {
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	if err := response.ReadLimitBody(c.reader, r.MaxResponseBytes); err != nil {
		return Response{}, false, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	if got := string(response.Header.Peek(HeaderRequestID)); got != r.ID {
		return Response{}, false, fmt.Errorf("%w: the answer is to request %q", ErrUnknown, got)
	}
	if response.Header.ContentLength() == identityContentLength {
		// Its end is the connection's, so a cut answer would look whole.
		return Response{}, false, fmt.Errorf("%w: the answer has no length", ErrUnknown)
	}
	reusable := !response.ConnectionClose() && c.reader.Buffered() == 0
	answer := Response{
		Status:  response.StatusCode(),
		Payload: append([]byte(nil), response.Body()...),
		Leaving: len(response.Header.Peek(HeaderLeaving)) > 0,
	}
	if len(response.Header.Peek(HeaderNotRun)) > 0 {
		return answer, reusable, fmt.Errorf("%w: refused", ErrNotRun)
	}
	return answer, reusable, nil
}

// identityContentLength is what fasthttp gives for a body without length.
const identityContentLength = -2

// countingConn counts what was written, since "not run" may be said only of a
// request of which nothing was.
type countingConn struct {
	net.Conn
	written int64
}

// Write counts what it wrote.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}
