package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash"
	"hash/crc32"
	"io"
	"sort"

	"github.com/fxamacker/cbor/v2"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
)

// SnapshotReader reads the data of a stored snapshot record by record and checks each. Its file stays
// readable until Close, though a newer snapshot replaces it. It is not safe for concurrent use.
type SnapshotReader struct {
	path     string
	file     ReadFile
	fileSize int64
	snapshot consensus.Snapshot
	inline   []byte // the data in format version 1, in which it follows no record of its own

	starts []recordStart // of the records of data that were read so far, in their order
	next   int64         // offset of the record after them
	total  uint64        // bytes of data in them
	ended  bool
	body   []byte // of the record that was read last
	data   []byte // of the record of data that was read last
	from   uint64 // offset of data within the snapshot's data

	position uint64 // of Read
	digest   hash.Hash64
	err      error // of Read
}

// recordStart is where a record of data begins, in the file and in the data.
type recordStart struct {
	offset int64
	data   uint64
}

// OpenSnapshot opens the stored snapshot at an index. It may run concurrently with all other calls.
func (st *Store) OpenSnapshot(index uint64) (*SnapshotReader, error) {
	return openSnapshot(st.files, st.snapshotPath(index))
}

func openSnapshot(files Files, path string) (*SnapshotReader, error) {
	size, err := files.Size(path)
	if err != nil {
		return nil, fileError(path, err)
	}
	f, err := files.Open(path)
	if err != nil {
		return nil, fileError(path, err)
	}
	sr := &SnapshotReader{path: path, file: f, fileSize: size}
	if err := sr.readMetadata(); err != nil {
		_ = sr.Close() // the file can't be used

		return nil, err
	}
	sr.digest = consensus.NewSnapshotDigest(&sr.snapshot)

	return sr, nil
}

func (sr *SnapshotReader) readMetadata() error {
	kind, body, err := sr.record()
	if err != nil {
		return err
	}
	if kind != recordHeader {
		return damagedError(sr.path, 0, "the snapshot has no valid header")
	}
	if _, err := checkHeader(sr.path, body); err != nil {
		return err
	}
	offset := sr.next
	if kind, body, err = sr.record(); err != nil {
		return err
	}
	if kind != recordEntry {
		return sr.damaged(offset)
	}
	if err := cbor.Unmarshal(body, &sr.snapshot); err != nil {
		return damagedError(sr.path, int(offset), err.Error())
	}
	if sr.snapshot.Data != nil {
		sr.inline, sr.snapshot.Data = sr.snapshot.Data, nil
		sr.data, sr.total, sr.ended = sr.inline, uint64(len(sr.inline)), true
	}

	return nil
}

// Snapshot returns the metadata. Its size and digest are known once all data was read.
func (sr *SnapshotReader) Snapshot() consensus.Snapshot { return sr.snapshot }

// Close closes the file.
func (sr *SnapshotReader) Close() error { return sr.file.Close() }

// Read reads the data from its beginning, and checks its size and digest at the end.
func (sr *SnapshotReader) Read(b []byte) (int, error) {
	if sr.err != nil {
		return 0, sr.err
	}
	n, err := sr.readAt(b, sr.position)
	sr.position += uint64(n)
	_, _ = sr.digest.Write(b[:n]) // never fails
	if errors.Is(err, io.EOF) {
		err = sr.finish()
	}
	sr.err = err

	return n, err
}

// finish checks the digest after the end of the data. It returns io.EOF if the snapshot is whole.
func (sr *SnapshotReader) finish() error {
	sum := sr.digest.Sum64()
	if sr.next < sr.fileSize {
		offset := sr.next
		kind, body, err := sr.record()
		if err != nil {
			return err
		}
		if kind != recordSnapshotDigest || len(body) != 8 || binary.LittleEndian.Uint64(body) != sum || sr.next != sr.fileSize {
			return damagedError(sr.path, int(offset), "the snapshot does not have its digest")
		}
	}
	sr.snapshot.Size, sr.snapshot.Digest = sr.total, sum

	return io.EOF
}

// ReadAt reads len(b) bytes of the data, from an offset. Only the records that it reads are checked.
func (sr *SnapshotReader) ReadAt(b []byte, offset uint64) error {
	for len(b) > 0 {
		n, err := sr.readAt(b, offset)
		if errors.Is(err, io.EOF) {
			return damagedError(sr.path, int(sr.next), fmt.Sprintf("the snapshot has only %d bytes of data", sr.total))
		}
		if err != nil {
			return err
		}
		b, offset = b[n:], offset+uint64(n)
	}

	return nil
}

// readAt reads from one record. It returns io.EOF at the end of the data.
func (sr *SnapshotReader) readAt(b []byte, offset uint64) (int, error) {
	if offset < sr.from || offset >= sr.from+uint64(len(sr.data)) {
		if err := sr.seek(offset); err != nil {
			return 0, err
		}
	}

	return copy(b, sr.data[offset-sr.from:]), nil
}

// seek reads the record that holds the data at an offset.
func (sr *SnapshotReader) seek(offset uint64) error {
	if offset < sr.total && sr.inline == nil {
		i := sort.Search(len(sr.starts), func(i int) bool { return sr.starts[i].data > offset }) - 1
		end := sr.next
		defer func() { sr.next = end }()
		sr.next, sr.data = sr.starts[i].offset, nil
		_, body, err := sr.record()
		sr.data, sr.from = body, sr.starts[i].data

		return err
	}
	for offset >= sr.total {
		if sr.ended {
			return io.EOF
		}
		isSkipped, err := sr.skipBefore(offset)
		if err == nil && !isSkipped {
			err = sr.readNext()
		}
		if err != nil {
			return err
		}
	}

	return nil
}

// skipBefore skips the next record if it holds data before an offset only, and reports whether it did. The
// data is neither read nor checked.
func (sr *SnapshotReader) skipBefore(offset uint64) (bool, error) {
	n, h, err := sr.recordHead()
	if err != nil || h[recordHeaderBytes] != recordSnapshotData || sr.total+uint64(n-1) > offset {
		return false, err
	}
	sr.starts = append(sr.starts, recordStart{sr.next, sr.total})
	sr.next += recordHeaderBytes + n
	sr.total += uint64(n - 1)
	sr.data, sr.from = nil, sr.total

	return true, nil
}

// readNext reads the next record of data, or the end of the data.
func (sr *SnapshotReader) readNext() error {
	start := recordStart{sr.next, sr.total}
	sr.data = nil
	kind, body, err := sr.record()
	switch {
	case err != nil:
		return err
	case kind == recordSnapshotData:
		sr.starts = append(sr.starts, start)
		sr.data, sr.from = body, sr.total
		sr.total += uint64(len(body))
	case kind == recordSnapshotEnd && len(body) == 8 && binary.LittleEndian.Uint64(body) == sr.total:
		sr.ended, sr.from = true, sr.total
	default:
		return sr.damaged(start.offset)
	}

	return nil
}

// record reads the record at next and moves next to its end. The body is valid until the next call.
func (sr *SnapshotReader) record() (kind byte, body []byte, err error) {
	n, h, err := sr.recordHead()
	if err != nil {
		return 0, nil, err
	}
	if int64(cap(sr.body)) < n {
		sr.body = make([]byte, n)
	}
	b := sr.body[:n]
	if err := sr.readFile(b, sr.next+recordHeaderBytes); err != nil {
		return 0, nil, err
	}
	if crc32.Checksum(b, castagnoli) != binary.LittleEndian.Uint32(h[4:]) {
		return 0, nil, sr.damaged(sr.next)
	}
	sr.next += recordHeaderBytes + n

	return b[0], b[1:], nil
}

// recordHead reads the header of the record at next and the kind that follows it. n is the size of the kind and
// the body.
func (sr *SnapshotReader) recordHead() (n int64, h [recordHeaderBytes + 1]byte, err error) {
	if err := sr.readFile(h[:], sr.next); err != nil {
		return 0, h, err
	}
	n = int64(binary.LittleEndian.Uint32(h[:]))
	if n < 1 || n > maxRecordBytes || sr.next+recordHeaderBytes+n > sr.fileSize {
		return 0, h, sr.damaged(sr.next)
	}

	return n, h, nil
}

func (sr *SnapshotReader) readFile(b []byte, offset int64) error {
	n, err := sr.file.ReadAt(b, offset)
	switch {
	case n == len(b):
		return nil
	case err == nil || errors.Is(err, io.EOF):
		return sr.damaged(offset)
	}

	return fileError(sr.path, err)
}

func (sr *SnapshotReader) damaged(offset int64) error {
	return damagedError(sr.path, int(offset), "the snapshot is incomplete or damaged")
}
