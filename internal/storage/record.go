package storage

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	recordHeaderBytes = 8
	maxRecordBytes    = 64 << 20
	maxTailScanBytes  = 1 << 20
	// maxDataRecordBytes is the most data of a snapshot in one record.
	maxDataRecordBytes = 16 << 20
)

// Kinds of records in a log segment.
const (
	recordHeader byte = iota + 1
	recordEntry
	recordHardState
	recordSnapshotData // a part of a snapshot's data
	recordSnapshotEnd  // how many bytes of data there are
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendRecord appends length, CRC32C, kind and body.
func appendRecord(dst []byte, kind byte, body []byte) []byte {
	at := len(dst)
	dst = append(beginRecord(dst, kind), body...)
	finishRecord(dst[at:])

	return dst
}

// beginRecord appends the start of a record whose body follows.
func beginRecord(dst []byte, kind byte) []byte {
	var h [recordHeaderBytes]byte

	return append(append(dst, h[:]...), kind)
}

// recordPrefix returns the start of a record whose body is written after it.
func recordPrefix(kind byte, body []byte) []byte {
	b := beginRecord(nil, kind)
	binary.LittleEndian.PutUint32(b, uint32(len(body)+1))
	binary.LittleEndian.PutUint32(b[4:], crc32.Update(crc32.Checksum([]byte{kind}, castagnoli), castagnoli, body))

	return b
}

// finishRecord fills in the size and the checksum of the record that b holds.
func finishRecord(b []byte) {
	body := b[recordHeaderBytes:]
	binary.LittleEndian.PutUint32(b, uint32(len(body)))
	binary.LittleEndian.PutUint32(b[4:], crc32.Checksum(body, castagnoli))
}

// readRecord returns the record at the start of b and its size, or false if there is no whole one.
func readRecord(b []byte) (kind byte, body []byte, size int, ok bool) {
	if len(b) < recordHeaderBytes+1 {
		return 0, nil, 0, false
	}

	n := int(binary.LittleEndian.Uint32(b))
	if n < 1 || n > maxRecordBytes || len(b)-recordHeaderBytes < n {
		return 0, nil, 0, false
	}

	data := b[recordHeaderBytes : recordHeaderBytes+n]
	if crc32.Checksum(data, castagnoli) != binary.LittleEndian.Uint32(b[4:]) {
		return 0, nil, 0, false
	}

	return data[0], data[1:], recordHeaderBytes + n, true
}

// hasRecordAfter reports whether a whole record starts anywhere behind the first byte of b.
// A torn write leaves none; damage in the middle of a file does.
func hasRecordAfter(b []byte) bool {
	for i := 1; i < len(b) && i < maxTailScanBytes; i++ {
		if _, _, _, ok := readRecord(b[i:]); ok {
			return true
		}
	}

	return false
}
