package group

import (
	"slices"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/storage"
)

const (
	// maxReadyChunks bounds the chunks of a snapshot that were read and are not sent yet.
	maxReadyChunks = 4
	// maxChunkRequests bounds the chunks that wait to be read.
	maxChunkRequests = 16
)

// chunkReader reads the chunks of a stored snapshot for transfers, beside the loop. Except for run, only
// the loop may use it.
type chunkReader struct {
	snapshot *storage.SnapshotReader // used only by run
	size     uint64
	requests chan chunkRange
	results  chan<- chunkResult
	closed   chan struct{}
	now      func() time.Duration
	pending  map[uint64]bool // offsets that were requested
	since    time.Duration   // since when the disk has been reading the first of them
	ready    []chunkResult   // in the order in which they were read
	err      error           // of the first chunk that can't be read
}

// chunkRange is a part of a snapshot's data.
type chunkRange struct {
	offset uint64
	bytes  int
}

// chunkResult is a chunk that was read, or why it can't be.
type chunkResult struct {
	reader *chunkReader
	offset uint64
	data   []byte
	err    error
}

// newChunkReader returns a reader of an open snapshot of so many bytes, whose run passes what it reads to results.
func newChunkReader(sr *storage.SnapshotReader, size uint64, results chan<- chunkResult, now func() time.Duration) *chunkReader {
	return &chunkReader{
		snapshot: sr, size: size, requests: make(chan chunkRange, maxChunkRequests), results: results, now: now,
		closed: make(chan struct{}), pending: map[uint64]bool{},
	}
}

// run reads what is requested until close, and closes the snapshot.
func (cr *chunkReader) run() {
	defer func() { _ = cr.snapshot.Close() }() // it was only read

	for {
		select {
		case rg := <-cr.requests:
			data := make([]byte, rg.bytes)
			err := cr.snapshot.ReadAt(data, rg.offset)
			select {
			case cr.results <- chunkResult{reader: cr, offset: rg.offset, data: data, err: err}:
			case <-cr.closed:
				return
			}
		case <-cr.closed:
			return
		}
	}
}

// close ends run. A read that is under way may take longer.
func (cr *chunkReader) close() { close(cr.closed) }

// read returns the chunk at an offset and begins to read the next one. It returns nil if the chunk is not
// read yet, and begins to read it.
func (cr *chunkReader) read(offset uint64, bytes int) ([]byte, error) {
	if cr.err != nil {
		return nil, cr.err
	}
	i := cr.readyAt(offset)
	if i < 0 || len(cr.ready[i].data) != bytes {
		cr.request(offset, bytes)

		return nil, nil
	}
	data := cr.ready[i].data
	cr.ready = slices.Delete(cr.ready, i, i+1)
	if next := offset + uint64(bytes); next < cr.size {
		cr.request(next, int(min(uint64(bytes), cr.size-next)))
	}

	return data, nil
}

// readyAt returns the position in ready of the chunk at an offset, -1 if it is not there.
func (cr *chunkReader) readyAt(offset uint64) int {
	return slices.IndexFunc(cr.ready, func(re chunkResult) bool { return re.offset == offset })
}

// request asks for a chunk unless that was done. If too many wait to be read, the chunk is left out.
func (cr *chunkReader) request(offset uint64, bytes int) {
	if i := cr.readyAt(offset); i >= 0 && len(cr.ready[i].data) == bytes {
		return
	}
	if cr.pending[offset] {
		return
	}
	select {
	case cr.requests <- chunkRange{offset, bytes}:
		if len(cr.pending) == 0 {
			cr.since = cr.now()
		}
		cr.pending[offset] = true
	default:
	}
}

// waited returns how long the disk has been reading a chunk, 0 if none is requested.
func (cr *chunkReader) waited() time.Duration {
	if len(cr.pending) == 0 {
		return 0
	}

	return cr.now() - cr.since
}

// finish takes a chunk that was read.
func (cr *chunkReader) finish(re chunkResult) {
	delete(cr.pending, re.offset)
	cr.since = cr.now()
	if re.err != nil {
		cr.err = re.err

		return
	}
	cr.ready = append(cr.ready, re)
	if len(cr.ready) > maxReadyChunks {
		cr.ready = slices.Delete(cr.ready, 0, 1) // read ahead for a transfer that went on elsewhere
	}
}

// finishChunk takes a chunk of a stored snapshot that was read, and sends it if it is due.
func (n *node) finishChunk(re chunkResult) {
	if re.reader != n.sent {
		return
	}
	if re.err != nil {
		n.recordReadFailure(re.err)
	}
	re.reader.finish(re)
	if n.unstored == nil {
		n.replica.SendChunks(n.now())
	}
}
