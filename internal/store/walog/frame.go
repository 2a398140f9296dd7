// This file defines the frame format of log entries and whole files.

package walog

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	// A frame consists of the payload length (4 bytes), a checksum (4 bytes), syncedSize
	// (8 bytes) and the payload.
	frameHeaderSize = 16
	// maxPayloadSize limits the payload of a frame. A greater length indicates corruption.
	maxPayloadSize = 256 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frame is a frame read from a file.
type frame struct {
	payload []byte
	// syncedSize is the size of the segment that was synced when the frame was written. It
	// distinguishes a torn tail from corruption: bytes before it had been acknowledged,
	// bytes after it had not.
	syncedSize int64
	endOffset  int64
}

// appendFrame appends an encoded frame to buffer.
func appendFrame(buffer, payload []byte, synced int64) []byte {
	var header [frameHeaderSize]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(header[8:], uint64(synced))
	sum := crc32.Update(0, castagnoli, header[8:])
	sum = crc32.Update(sum, castagnoli, payload)
	binary.LittleEndian.PutUint32(header[4:], sum)
	return append(append(buffer, header[:]...), payload...)
}

// readFrame decodes the frame at offset. It returns false if there is no valid frame.
func readFrame(data []byte, offset int64) (frame, bool) {
	rest := data[offset:]
	if len(rest) < frameHeaderSize {
		return frame{}, false
	}
	length := binary.LittleEndian.Uint32(rest)
	if length == 0 || length > maxPayloadSize || int(length) > len(rest)-frameHeaderSize {
		return frame{}, false
	}
	payload := rest[frameHeaderSize : frameHeaderSize+int(length)]
	sum := crc32.Update(0, castagnoli, rest[8:frameHeaderSize])
	if crc32.Update(sum, castagnoli, payload) != binary.LittleEndian.Uint32(rest[4:]) {
		return frame{}, false
	}
	synced := int64(binary.LittleEndian.Uint64(rest[8:]))
	return frame{payload: payload, syncedSize: synced, endOffset: offset + frameHeaderSize + int64(length)}, true
}

// syncedBeyond reports whether any frame after offset was written when bytes beyond offset
// were already synced. If so, unreadable data at offset is corruption rather than a torn
// write.
func syncedBeyond(data []byte, offset int64) bool {
	for at := offset + 1; at+frameHeaderSize < int64(len(data)); at++ {
		if f, ok := readFrame(data, at); ok && f.syncedSize > offset {
			return true
		}
	}
	return false
}
