// This file defines frameMeter, which finds unfinished messages in what a caller sends.

package intake

import "encoding/binary"

const (
	prefaceBytes     = 24 // that a client's side of an HTTP/2 connection begins with
	frameHeaderBytes = 9
	prefixBytes      = 5 // of a gRPC message
	dataFrame        = 0
	resetFrame       = 3
	endStreamFlag    = 1
	paddedFlag       = 8
	// maxMeteredStreams limits the streams of one connection with an unfinished message.
	maxMeteredStreams = 10000
)

type (
	// frameMeter follows the client's side of an HTTP/2 connection that carries gRPC. The
	// zero value is at its beginning.
	frameMeter struct {
		skip    int // bytes of the preface or of a frame's payload that don't matter
		started bool
		header  [frameHeaderBytes]byte
		got     int // bytes of header
		data    int // bytes of the payload of a data frame
		ended   bool
		stream  uint32
		streams map[uint32]*partialMessage
		// onArrival is called with the growth of the unfinished messages in bytes, and
		// onMessage with each message that is whole or given up. onArrival may end the
		// connection by returning false.
		onArrival func(*partialMessage, int) bool
		onMessage func(*partialMessage)
	}

	// partialMessage is a message of which not all has arrived.
	partialMessage struct {
		prefix  [prefixBytes]byte
		got     int // bytes of prefix
		missing int
		// held is for the use of the callbacks.
		held callHold
	}
)

// feed follows what has arrived. It returns false if the connection must end.
func (m *frameMeter) feed(data []byte) bool {
	if !m.started {
		m.started, m.skip, m.streams = true, prefaceBytes, map[uint32]*partialMessage{}
	}
	for len(data) > 0 {
		switch {
		case m.skip > 0:
			n := min(m.skip, len(data))
			m.skip -= n
			data = data[n:]
		case m.data > 0:
			n := min(m.data, len(data))
			if !m.feedMessage(data[:n]) {
				return false
			}
			m.data -= n
			data = data[n:]
			m.endFrame()
		default:
			n := copy(m.header[m.got:], data)
			m.got += n
			data = data[n:]
			if m.got == frameHeaderBytes && !m.startFrame() {
				return false
			}
		}
	}
	return true
}

func (m *frameMeter) startFrame() bool {
	m.got = 0
	length := int(m.header[0])<<16 | int(m.header[1])<<8 | int(m.header[2])
	kind, flags := m.header[3], m.header[4]
	m.stream = binary.BigEndian.Uint32(m.header[5:]) & (1<<31 - 1)
	switch kind {
	case dataFrame:
		if flags&paddedFlag != 0 { // no gRPC client pads
			return false
		}
		m.data, m.ended = length, flags&endStreamFlag != 0
		m.endFrame()
	case resetFrame:
		m.drop()
		m.skip = length
	default:
		m.skip = length
	}
	return true
}

// endFrame removes the stream after its last data frame.
func (m *frameMeter) endFrame() {
	if m.data == 0 && m.ended {
		m.drop()
	}
}

func (m *frameMeter) drop() {
	if p := m.streams[m.stream]; p != nil {
		m.onMessage(p)
		delete(m.streams, m.stream)
	}
}

func (m *frameMeter) feedMessage(data []byte) bool {
	p := m.streams[m.stream]
	if p == nil {
		if len(m.streams) == maxMeteredStreams {
			return false
		}
		p = &partialMessage{}
		m.streams[m.stream] = p
	}
	for len(data) > 0 {
		if p.got < prefixBytes {
			n := copy(p.prefix[p.got:], data)
			p.got += n
			data = data[n:]
			if p.got < prefixBytes {
				return true
			}
			p.missing = int(binary.BigEndian.Uint32(p.prefix[1:]))
		}
		n := min(p.missing, len(data))
		p.missing -= n
		data = data[n:]
		if p.missing == 0 {
			m.onMessage(p)
			*p = partialMessage{}
		} else if n > 0 && !m.onArrival(p, n) {
			return false
		}
	}
	if *p == (partialMessage{}) {
		delete(m.streams, m.stream)
	}
	return true
}

// close gives up all unfinished messages.
func (m *frameMeter) close() {
	for s, p := range m.streams {
		m.onMessage(p)
		delete(m.streams, s)
	}
}
