package storage_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/storage"
)

const (
	// maxPieceBytes and maxUnsyncedBytes bound what one write and one sync of a snapshot may take.
	maxPieceBytes    = 256 << 10
	maxUnsyncedBytes = 4 << 20
	pieceWrite       = time.Millisecond
)

// slowWrites returns operations on d whose writes take pieceWrite. They count the bytes of each write
// to a snapshot, and the largest number of bytes that a sync had to store.
func slowWrites(d *memoryDisk, pieces *[]int, longestSync *int) storage.Files {
	files := d.operations()
	create := files.Create
	files.Create = func(path string) (storage.File, error) {
		f, err := create(path)
		write, sync := f.Write, f.Sync
		unsynced := 0
		f.Write = func(b []byte) (int, error) {
			time.Sleep(pieceWrite)
			*pieces = append(*pieces, len(b))
			unsynced += len(b)

			return write(b)
		}
		f.Sync = func() error {
			*longestSync = max(*longestSync, unsynced)
			unsynced = 0

			return sync()
		}

		return f, err
	}

	return files
}

var _ = Describe("a snapshot that is written as a stream", func() {
	meta := consensus.Snapshot{Index: 9, Term: 3, Membership: consensus.Membership{Voters: []consensus.ReplicaID{"a", "b"}, Learners: []consensus.ReplicaID{"c"}}}

	It("leaves the disk to other writes after each piece, for as long as the piece took", func() {
		data := make([]byte, 9<<20+123)
		for i := range data {
			data[i] = byte(i * 31 >> 3)
		}
		for _, part := range []int{1000, 100 << 10, 1 << 20, len(data)} {
			what := fmt.Sprintf("written in parts of %d bytes", part)
			d := newDisk()
			var pieces []int
			var pauses []time.Duration
			longestSync := 0
			st, _, err := storage.Open(slowWrites(d, &pieces, &longestSync), dir, 1)
			Expect(err).NotTo(HaveOccurred())
			st.SetPause(func(p time.Duration) { pauses = append(pauses, p) })
			sn, err := st.WriteSnapshot(meta, func(w io.Writer) error {
				for rest := data; len(rest) > 0; {
					n := min(part, len(rest))
					if _, err := w.Write(rest[:n]); err != nil {
						return err
					}
					rest = rest[n:]
				}

				return nil
			})
			Expect(err).NotTo(HaveOccurred())

			Expect(pieces).To(HaveEach(BeNumerically("<=", maxPieceBytes)), what)
			Expect(len(pieces)).To(BeNumerically("<", 2*len(data)/maxPieceBytes), what)
			Expect(pauses).To(HaveLen(len(pieces)), what)
			Expect(pauses).To(HaveEach(BeNumerically(">=", pieceWrite)), what)
			Expect(longestSync).To(BeNumerically("<=", maxUnsyncedBytes), what)

			digest := consensus.NewSnapshotDigest(&meta)
			_, _ = digest.Write(data)
			Expect(sn.Size).To(BeEquivalentTo(len(data)), what)
			Expect(sn.Digest).To(Equal(digest.Sum64()), what)
			Expect(sn.Data).To(BeNil(), what)
			Expect(st.AdoptSnapshot(sn, false)).To(Succeed())
			_, re, err := storage.Open(d.operations(), dir, 1)
			Expect(err).NotTo(HaveOccurred())
			Expect(re.Snapshot.Membership).To(Equal(meta.Membership), what)
			Expect(bytes.Equal(re.Snapshot.Data, data)).To(BeTrue(), what)
		}
	})

	It("is left out with the error of its encoding, which is none of the disk", func() {
		d := newDisk()
		st, _, err := storage.Open(d.operations(), dir, 1)
		Expect(err).NotTo(HaveOccurred())
		broken := errors.New("a field can't be encoded")
		_, err = st.WriteSnapshot(meta, func(w io.Writer) error {
			_, _ = w.Write(make([]byte, 3*maxPieceBytes))

			return broken
		})
		Expect(err).To(BeIdenticalTo(broken))
		Expect(storage.IsTransient(err)).To(BeFalse())
		names, err := d.operations().List(dir)
		Expect(err).NotTo(HaveOccurred())
		Expect(names).To(HaveEach(HavePrefix("log-")))
	})

	It("is refused by a disk that refuses any piece or sync of it", func() {
		for _, op := range []string{"write", "sync"} {
			for at := 1; ; at++ {
				d := newDisk()
				st, _, err := storage.Open(d.operations(), dir, 1)
				Expect(err).NotTo(HaveOccurred())
				st.SetPause(func(time.Duration) {})
				seen := 0
				d.fault = func(o, _ string) error {
					if o != op {
						return nil
					}
					if seen++; seen == at {
						return errDisk
					}

					return nil
				}
				_, err = st.WriteSnapshot(meta, func(w io.Writer) error {
					for range 48 {
						if _, err := w.Write(make([]byte, 100<<10)); err != nil {
							return err
						}
					}

					return nil
				})
				if seen < at {
					Expect(err).NotTo(HaveOccurred())
					Expect(at).To(BeNumerically(">", 3), op)

					break
				}
				Expect(storage.IsTransient(err)).To(BeTrue(), "%s %d: %v", op, at, err)
				Expect(d.files).To(HaveLen(1), "%s %d: the space is free again", op, at)
			}
		}
	})

	It("can be read without a digest, in records of other sizes", func() {
		old := meta
		old.Data = bytes.Repeat([]byte("state"), 300_000)
		for _, size := range []int{16 << 20, 1 << 20, 1000} {
			d := newDisk()
			d.files[fmt.Sprintf("%s/snapshot-%016d", dir, old.Index)] = &memoryFile{data: storage.EncodeSnapshotWithoutDigest(old, size)}
			_, re, err := storage.Open(d.operations(), dir, 1)
			Expect(err).NotTo(HaveOccurred())
			Expect(re.Snapshot.Index).To(Equal(old.Index))
			Expect(re.Snapshot.Membership).To(Equal(old.Membership))
			Expect(bytes.Equal(re.Snapshot.Data, old.Data)).To(BeTrue())
		}
	})
})
