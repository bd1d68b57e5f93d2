// Package payload holds bodies of requests and answers in chunks, so that a body that grows while it
// is read is never copied.
package payload

import (
	"bytes"
	"io"
)

// Chunks is a body in the order of its bytes. A nil value is an empty body.
type Chunks [][]byte

// Of returns a body of one chunk, which it does not copy.
func Of(b []byte) Chunks {
	if len(b) == 0 {
		return nil
	}

	return Chunks{b}
}

// Len returns the size of the body in bytes.
func (ch Chunks) Len() int {
	n := 0
	for _, c := range ch {
		n += len(c)
	}

	return n
}

// Reader returns a reader of the body, which stays unchanged.
func (ch Chunks) Reader() io.Reader {
	switch len(ch) {
	case 0:
		return bytes.NewReader(nil)
	case 1:
		return bytes.NewReader(ch[0])
	}
	readers := make([]io.Reader, len(ch))
	for i, c := range ch {
		readers[i] = bytes.NewReader(c)
	}

	return io.MultiReader(readers...)
}

// TakeJoined returns the body in one piece and gives up its chunks one after the other. onTaken is called
// with the size of the memory of each of them.
func (ch Chunks) TakeJoined(onTaken func(bytes int)) []byte {
	out := make([]byte, 0, ch.Len())
	for i, c := range ch {
		out = append(out, c...)
		ch[i] = nil
		onTaken(cap(c))
	}

	return out
}
