package quorum

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/rotisserie/eris"
)

const (
	// headerBytes is the size of a frame header: the payload length, the
	// checksum of that length, and the checksum of the payload, 4 bytes each.
	headerBytes = 12
	// frameEnd is the byte that follows each payload. It is not zero, so that a
	// complete frame never ends in zeros, which an interrupted write may leave.
	frameEnd = 0xa5
	// sectorBytes is the size of a disk sector, the unit in which writes reach
	// the disk.
	sectorBytes = 512
	// maxPayloadBytes is the maximum size of the payload of a frame.
	maxPayloadBytes = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	errTorn    = eris.New("the last record is incomplete")
	errDamaged = eris.New("checksum mismatch")
)

// appendFrame appends a framed payload to b.
func appendFrame(b, payload []byte) []byte {
	var header [headerBytes]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(header[:4], castagnoli))
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(payload, castagnoli))
	b = append(b, header[:]...)
	b = append(b, payload...)
	return append(b, frameEnd)
}

// readFrame returns the payload of the frame at offset and the offset of the
// next frame. The error is errTorn if the frame may be the result of an
// interrupted write at the end of the file, and errDamaged otherwise.
func readFrame(b []byte, offset int) ([]byte, int, error) {
	rest := b[offset:]
	if len(rest) < headerBytes {
		return nil, 0, errTorn
	}
	length := binary.LittleEndian.Uint32(rest)
	if crc32.Checksum(rest[:4], castagnoli) != binary.LittleEndian.Uint32(rest[4:]) || length > maxPayloadBytes {
		return nil, 0, tornOrDamaged(b, offset)
	}
	end := headerBytes + int(length) + 1
	if len(rest) < end {
		return nil, 0, errTorn
	}
	payload := rest[headerBytes : end-1]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(rest[8:]) || rest[end-1] != frameEnd {
		return nil, 0, tornOrDamaged(b, offset)
	}
	return payload, offset + end, nil
}

// tornOrDamaged distinguishes an interrupted write from corruption. After an
// interrupted write, the file ends in zeros that begin at the start of the frame
// or at a later sector boundary.
func tornOrDamaged(b []byte, offset int) error {
	zerosStart := len(b)
	for zerosStart > offset && b[zerosStart-1] == 0 {
		zerosStart--
	}
	nextSector := (zerosStart + sectorBytes - 1) / sectorBytes * sectorBytes
	if zerosStart == offset || nextSector < len(b) {
		return errTorn
	}
	return errDamaged
}
