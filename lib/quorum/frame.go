package quorum

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/rotisserie/eris"
)

const (
	// headerBytes is the size of a frame's header: the payload's length, the
	// checksum of that length, and the checksum of the payload.
	headerBytes = 12
	// endMark follows each payload. It is not zero, so that a frame never ends
	// in the zeros that an unfinished write may leave.
	endMark = 0xa5
	// sectorBytes is the unit in which a disk writes.
	sectorBytes = 512
	// maxFrameBytes bounds one payload.
	maxFrameBytes = 1 << 30
)

var checksums = crc32.MakeTable(crc32.Castagnoli)

var (
	errTorn    = eris.New("the last record was not written to its end")
	errDamaged = eris.New("the checksum does not fit")
)

// appendFrame appends a payload in its frame to b.
func appendFrame(b, payload []byte) []byte {
	var header [headerBytes]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(header[:4], checksums))
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(payload, checksums))
	b = append(b, header[:]...)
	b = append(b, payload...)
	return append(b, endMark)
}

// readFrame returns the payload of the frame at offset, and the offset of the
// next one. The error is errTorn where the frame is what an interrupted write
// at the end of the file may leave, and errDamaged otherwise.
func readFrame(b []byte, offset int) ([]byte, int, error) {
	rest := b[offset:]
	if len(rest) < headerBytes {
		return nil, 0, errTorn
	}
	length := binary.LittleEndian.Uint32(rest)
	if crc32.Checksum(rest[:4], checksums) != binary.LittleEndian.Uint32(rest[4:]) || length > maxFrameBytes {
		return nil, 0, tornOrDamaged(b, offset)
	}
	end := headerBytes + int(length) + 1
	if len(rest) < end {
		return nil, 0, errTorn
	}
	payload := rest[headerBytes : end-1]
	if crc32.Checksum(payload, checksums) != binary.LittleEndian.Uint32(rest[8:]) || rest[end-1] != endMark {
		return nil, 0, tornOrDamaged(b, offset)
	}
	return payload, offset + end, nil
}

// tornOrDamaged tells an interrupted write, which leaves zeros from the frame's
// start or a later sector to the end of the file, from damage.
func tornOrDamaged(b []byte, offset int) error {
	zeros := len(b)
	for zeros > offset && b[zeros-1] == 0 {
		zeros--
	}
	sector := (zeros + sectorBytes - 1) / sectorBytes * sectorBytes
	if zeros == offset || sector < len(b) {
		return errTorn
	}
	return errDamaged
}
