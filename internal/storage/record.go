package storage

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	recordHeaderBytes = 8        // length and CRC32C, 4 bytes each
	maxRecordBytes    = 64 << 20 // readRecord rejects a larger length as damage
	maxTailScanBytes  = 1 << 20  // how far hasRecordAfter searches
)

// Kinds of records in log segments and snapshot files. The values are stored.
const (
	recordHeader byte = iota + 1
	recordEntry       // a log entry, or the metadata of a snapshot
	recordHardState
	recordSnapshotData   // part of a snapshot's data
	recordSnapshotEnd    // total number of bytes of a snapshot's data
	recordSnapshotDigest // digest of a snapshot, after its end; files of earlier versions have none
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendRecord appends a record: the length and CRC32C of kind and body, then both.
func appendRecord(dst []byte, kind byte, body []byte) []byte {
	at := len(dst)
	dst = append(beginRecord(dst, kind), body...)
	finishRecord(dst[at:])

	return dst
}

// beginRecord appends an empty header and the kind of a record. The caller appends the body
// and calls finishRecord.
func beginRecord(dst []byte, kind byte) []byte {
	var h [recordHeaderBytes]byte

	return append(append(dst, h[:]...), kind)
}

// finishRecord sets the length and the checksum in the header of the record b.
func finishRecord(b []byte) {
	body := b[recordHeaderBytes:]
	binary.LittleEndian.PutUint32(b, uint32(len(body)))
	binary.LittleEndian.PutUint32(b[4:], crc32.Checksum(body, castagnoli))
}

// readRecord returns the record at the start of b and its size, or false if b does not start
// with a complete record and a valid checksum.
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

// hasRecordAfter reports whether a valid record starts after the first byte of b. This tells
// damage in the middle of a file from a torn write at its end, which no record follows. The next
// record is looked for where the length of the first says, which may be beyond maxTailScanBytes,
// and then at each byte.
func hasRecordAfter(b []byte) bool {
	if len(b) >= recordHeaderBytes {
		if n := int(binary.LittleEndian.Uint32(b)); n <= maxRecordBytes && recordHeaderBytes+n < len(b) {
			if _, _, _, ok := readRecord(b[recordHeaderBytes+n:]); ok {
				return true
			}
		}
	}
	for i := 1; i < len(b) && i < maxTailScanBytes; i++ {
		if _, _, _, ok := readRecord(b[i:]); ok {
			return true
		}
	}

	return false
}
