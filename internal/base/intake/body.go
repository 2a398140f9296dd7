// This file implements the reading of bodies.

package intake

import (
	"errors"
	"io"

	"github.com/valyala/fasthttp"
)

// firstBufferBytes is the size of the first buffer of a body.
const firstBufferBytes = 4 << 10

// readBody reads the body of a request into a buffer that grows with what has arrived, and
// takes its size and that of the copies from the budget. It returns nil if there is none.
func (s *server) readBody(c *conn, r *fasthttp.RequestCtx) ([]byte, error) {
	header := &r.Request.Header
	if !c.hold.Take(int64(header.Len())) {
		return nil, errNoRoom
	}
	stream, length := r.Request.BodyStream(), header.ContentLength()
	if stream == nil || length == 0 {
		return nil, nil
	}
	allowed := s.allowance(header)
	if length > allowed.Body {
		return nil, errTooLarge
	}
	most := length
	if length < 0 { // chunked; one byte more shows that it is too large
		most = allowed.Body + 1
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := c.grow(body, min(max(2*cap(body), firstBufferBytes), most))
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > allowed.Body:
			return nil, errTooLarge
		case errors.Is(err, io.EOF):
			if length > 0 && len(body) < length {
				return nil, io.ErrUnexpectedEOF
			}
			return s.charge(c, body, allowed)
		case err != nil:
			return nil, err
		}
	}
}

// grow returns a larger buffer with the same content. Both buffers count while it copies.
func (c *conn) grow(body []byte, size int) ([]byte, error) {
	if !c.hold.Take(int64(size)) {
		return nil, errNoRoom
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	c.hold.Return(int64(cap(body)))
	return grown, nil
}

// charge takes what handling the body will need.
func (s *server) charge(c *conn, body []byte, allowed Allowance) ([]byte, error) {
	if !c.hold.Take(int64(allowed.Copies) * int64(len(body))) {
		return nil, errNoRoom
	}
	return body, nil
}

// Reserve takes bytes for the answer to a request until it was sent, and reports whether
// there was room for them.
func Reserve(r *fasthttp.RequestCtx, bytes int) bool {
	c, ok := r.Conn().(*conn)
	return !ok || c.hold == nil || c.hold.Take(int64(bytes))
}

// Refuse answers a request that had no effect and finds no room.
func Refuse(r *fasthttp.RequestCtx) {
	requestsNoRoom.Inc()
	r.SetStatusCode(fasthttp.StatusServiceUnavailable)
	r.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfter)
}
