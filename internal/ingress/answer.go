package ingress

import (
	"bytes"
	"errors"
	"io"

	"golang.org/x/sync/semaphore"

	"github.com/tamarackbay/tamarackbay/internal/payload"
)

const (
	// maxAnswerBytes limits an answer that is buffered until it is complete.
	maxAnswerBytes = 16 << 20
	// The first chunk of an answer is buffered without a reservation, as nearly all answers
	// fit into it. Each further chunk is as large as all before it, maxChunkBytes at most.
	firstChunkBytes = 64 << 10
	maxChunkBytes   = 1 << 20
	// defaultBufferBytes bounds what all buffered answers reserve together where
	// Config.BufferBytes is 0.
	defaultBufferBytes = 32 << 20
)

var (
	errAnswerTooLarge = errors.New("the answer exceeds the limit of 16 MiB")
	errBuffersFull    = errors.New("the buffers of this process are full of other answers")
)

// answerReader reads answers into memory. What all of them hold beyond their first chunks
// is bounded, so that answers without end can't exhaust the process's memory.
type answerReader struct{ reserved *semaphore.Weighted }

func newAnswerReader(bufferBytes int64) *answerReader {
	if bufferBytes <= 0 {
		bufferBytes = defaultBufferBytes
	}

	return &answerReader{semaphore.NewWeighted(bufferBytes)}
}

// read reads an answer to its end. The returned function gives its memory back.
func (ar *answerReader) read(body io.Reader) (payload.Chunks, func(), error) {
	var out payload.Chunks
	held := int64(0)
	release := func() { ar.reserved.Release(held) }
	fail := func(err error) (payload.Chunks, func(), error) {
		release()

		return nil, nil, err
	}
	for size := 0; ; {
		chunk, err := readChunk(body, chunkBytes(size), size > 0)
		if err != nil {
			return fail(err)
		}
		if len(chunk) > 0 {
			out = append(out, chunk)
		}
		if len(chunk) < chunkBytes(size) {
			return out, release, nil
		}
		if size += len(chunk); size > maxAnswerBytes {
			return fail(errAnswerTooLarge)
		}
		next := int64(chunkBytes(size))
		if !ar.reserved.TryAcquire(next) {
			return fail(errBuffersFull)
		}
		held += next
	}
}

// readChunk reads up to limit bytes. Its memory grows with them unless it is full at once.
func readChunk(body io.Reader, limit int, isFull bool) ([]byte, error) {
	var buf bytes.Buffer
	if isFull {
		buf.Grow(limit + bytes.MinRead) // the buffer keeps that much room for its last read
	}
	_, err := io.Copy(&buf, io.LimitReader(body, int64(limit)))

	return buf.Bytes(), err
}

// chunkBytes returns the size of the chunk after size bytes of an answer. The last one goes
// one byte beyond maxAnswerBytes, which shows whether the answer ends there.
func chunkBytes(size int) int {
	return min(max(size, firstChunkBytes), maxChunkBytes, maxAnswerBytes+1-size)
}
