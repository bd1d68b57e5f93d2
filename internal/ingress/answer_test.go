package ingress

import (
	"bytes"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("a buffered answer", func() {
	for _, tc := range []struct {
		name        string
		size        int
		bufferBytes int64
		err         error
	}{
		{"may be empty", 0, 1, nil},
		{"needs no reservation in its first chunk", firstChunkBytes - 1, 1, nil},
		{"may have the largest size", maxAnswerBytes, maxAnswerBytes + 1, nil},
		{"is given up over the largest size", maxAnswerBytes + 1, 4 * maxAnswerBytes, errAnswerTooLarge},
		{"is given up while other answers fill the buffers", 2 * firstChunkBytes, firstChunkBytes - 1, errBuffersFull},
	} {
		ginkgo.It(tc.name, func() {
			ar := newAnswerReader(tc.bufferBytes)
			want := bytes.Repeat([]byte("abc"), tc.size/3+1)[:tc.size]
			got, release, err := ar.read(bytes.NewReader(want))
			if tc.err != nil {
				Expect(err).To(MatchError(tc.err))
			} else {
				Expect(err).NotTo(HaveOccurred())
				Expect(got.Len()).To(Equal(tc.size))
				Expect(bytes.Equal(bytes.Join(got, nil), want)).To(BeTrue())
				release()
			}
			Expect(ar.reserved.TryAcquire(tc.bufferBytes)).To(BeTrue(), "the memory is given back")
		})
	}
})
