// This file defines the frames that records are written in.

package walog

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	// A frame is: payload length (4 bytes), checksum (4), synced (8), payload.
	headerSize = 16
	// maxPayload bounds a frame; a larger length can only be garbage.
	maxPayload = 256 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frame is one record as found in a segment.
type frame struct {
	payload []byte
	// synced is the length of the segment known to be on disk when the frame
	// was written. It is what tells a torn tail from damage: bytes before it
	// had been promised, bytes after it had not.
	synced int64
	end    int64
}

func appendFrame(buffer, payload []byte, synced int64) []byte {
	var header [headerSize]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(header[8:], uint64(synced))
	sum := crc32.Update(0, castagnoli, header[8:])
	sum = crc32.Update(sum, castagnoli, payload)
	binary.LittleEndian.PutUint32(header[4:], sum)
	return append(append(buffer, header[:]...), payload...)
}

// readFrame reads the frame that starts at offset; false when there is none.
func readFrame(data []byte, offset int64) (frame, bool) {
	rest := data[offset:]
	if len(rest) < headerSize {
		return frame{}, false
	}
	length := binary.LittleEndian.Uint32(rest)
	if length == 0 || length > maxPayload || int(length) > len(rest)-headerSize {
		return frame{}, false
	}
	payload := rest[headerSize : headerSize+int(length)]
	sum := crc32.Update(0, castagnoli, rest[8:headerSize])
	if crc32.Update(sum, castagnoli, payload) != binary.LittleEndian.Uint32(rest[4:]) {
		return frame{}, false
	}
	synced := int64(binary.LittleEndian.Uint64(rest[8:]))
	return frame{payload: payload, synced: synced, end: offset + headerSize + int64(length)}, true
}

// promisedBeyond tells whether any frame after offset was written when bytes
// beyond offset were already synced. Then what is unreadable at offset had
// been promised to others and its loss is damage, not a torn write.
func promisedBeyond(data []byte, offset int64) bool {
	for at := offset + 1; at+headerSize < int64(len(data)); at++ {
		if f, ok := readFrame(data, at); ok && f.synced > offset {
			return true
		}
	}
	return false
}
