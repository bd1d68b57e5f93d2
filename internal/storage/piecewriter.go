package storage

import (
	"encoding/binary"
	"hash"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
)

const (
	// maxPieceBytes bounds one write of a snapshot: a write of the log on the same disk waits for one
	// piece at most.
	maxPieceBytes = 256 << 10
	// snapshotSyncBytes is what is written of a snapshot between two syncs, so that none takes long.
	snapshotSyncBytes = 2 << 20
	// snapshotEndBytes is the size of the records after the data of a snapshot, which share its last piece.
	snapshotEndBytes = 2 * (recordHeaderBytes + 1 + 8)
)

// pieceWriter writes the file of a snapshot in pieces of at most maxPieceBytes. What is written to it
// is the data of the snapshot. Each piece is followed by a pause as long as its write and sync took,
// so that at least half of the disk is left to the log.
type pieceWriter struct {
	file     File
	pause    func(d time.Duration) // nil for none
	piece    []byte                // not written yet; it ends with an unfinished record of data
	record   int                   // where that record begins in piece
	unsynced int
	size     uint64
	digest   hash.Hash64
	err      error // of the file
}

// newPieceWriter returns a writer of the snapshot whose metadata is sn.
func newPieceWriter(f File, pause func(d time.Duration), group consensus.GroupID, sn consensus.Snapshot) (*pieceWriter, error) {
	b, err := appendSnapshotHead(make([]byte, 0, maxPieceBytes), group, sn)
	if err != nil {
		return nil, err
	}
	pw := &pieceWriter{file: f, pause: pause, digest: consensus.NewSnapshotDigest(&sn)}
	pw.beginRecord(b)

	return pw, nil
}

// appendSnapshotHead appends the records before the data of a snapshot.
func appendSnapshotHead(dst []byte, group consensus.GroupID, sn consensus.Snapshot) ([]byte, error) {
	h, err := cbor.Marshal(fileHeader{Format: FormatVersion, Group: group})
	if err != nil {
		return nil, err
	}

	return appendCBOR(appendRecord(dst, recordHeader, h), recordEntry, withoutData(sn))
}

// beginRecord begins a record of data after those in piece.
func (pw *pieceWriter) beginRecord(piece []byte) {
	pw.record = len(piece)
	pw.piece = beginRecord(piece, recordSnapshotData)
}

// Write adds data to the snapshot.
func (pw *pieceWriter) Write(b []byte) (int, error) {
	total := len(b)
	for len(b) > 0 {
		n := min(len(b), max(maxPieceBytes-snapshotEndBytes-len(pw.piece), 0))
		pw.piece = append(pw.piece, b[:n]...)
		b = b[n:]
		if len(b) == 0 {
			break
		}
		if err := pw.flush(); err != nil {
			return total - len(b), err
		}
	}

	return total, nil
}

// flush writes the piece and begins the next one.
func (pw *pieceWriter) flush() error {
	if pw.err != nil {
		return pw.err
	}
	pw.finishRecord()
	if pw.err = pw.write(pw.piece); pw.err != nil {
		return pw.err
	}
	pw.beginRecord(pw.piece[:0])

	return nil
}

// finishRecord completes the record of data that piece ends with, or removes it if it is empty.
func (pw *pieceWriter) finishRecord() {
	data := pw.piece[pw.record+recordHeaderBytes+1:]
	if len(data) == 0 {
		pw.piece = pw.piece[:pw.record]

		return
	}
	finishRecord(pw.piece[pw.record:])
	pw.size += uint64(len(data))
	_, _ = pw.digest.Write(data) // never fails
}

// write writes a piece, syncs the file if that is due, and pauses.
func (pw *pieceWriter) write(piece []byte) error {
	began := time.Now()
	if err := writeAll(pw.file, piece); err != nil {
		return err
	}
	if pw.unsynced += len(piece); pw.unsynced >= snapshotSyncBytes {
		pw.unsynced = 0
		if err := pw.file.Sync(); err != nil {
			return err
		}
	}
	if pw.pause != nil {
		pw.pause(time.Since(began))
	}

	return nil
}

// finish writes what is left, and the records after the data. The caller syncs the file.
func (pw *pieceWriter) finish() error {
	if pw.err != nil {
		return pw.err
	}
	pw.finishRecord()
	pw.err = pw.write(append(pw.piece, snapshotEnd(pw.size, pw.digest.Sum64())...))

	return pw.err
}

// snapshotEnd returns the records after the data of a snapshot.
func snapshotEnd(size, digest uint64) []byte {
	b := appendRecord(nil, recordSnapshotEnd, binary.LittleEndian.AppendUint64(nil, size))

	return appendRecord(b, recordSnapshotDigest, binary.LittleEndian.AppendUint64(nil, digest))
}

func writeAll(f File, b []byte) error {
	n, err := f.Write(b)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}

	return err
}
