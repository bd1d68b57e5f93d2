package storage_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/storage"
)

var _ = Describe("a stored snapshot that is read as a stream", func() {
	meta := consensus.Snapshot{Index: 9, Term: 3, Membership: consensus.Membership{Voters: []consensus.ReplicaID{"a", "b"}}}
	path := fmt.Sprintf("%s/snapshot-%016d", dir, meta.Index)
	data := make([]byte, 1<<20+77)
	for i := range data {
		data[i] = byte(i * 13 >> 2)
	}
	// stored returns a disk that holds the snapshot of data, written by this version.
	stored := func() (*memoryDisk, *storage.Store) {
		d := newDisk()
		st, _, err := storage.Open(d.operations(), dir, 1)
		Expect(err).NotTo(HaveOccurred())
		sn := meta
		sn.Data = data
		Expect(st.SaveSnapshot(sn, false)).To(Succeed())

		return d, st
	}
	files := []struct {
		name   string
		encode func(d *memoryDisk)
	}{
		{"of this version", func(*memoryDisk) {}},
		{"without a digest, in records of 16 MiB", func(d *memoryDisk) {
			sn := meta
			sn.Data = data
			d.files[path].data = storage.EncodeSnapshotWithoutDigest(sn, 16<<20)
		}},
		{"of format version 1", func(d *memoryDisk) {
			sn := meta
			sn.Data = data
			d.files[path].data = storage.EncodeSnapshotV1(sn)
		}},
	}

	It("returns the same data at each offset, and the size and digest of the whole", func() {
		for _, tc := range files {
			d, st := stored()
			tc.encode(d)
			sr, err := st.OpenSnapshot(meta.Index)
			Expect(err).NotTo(HaveOccurred(), tc.name)
			rnd := rand.New(rand.NewPCG(1, 1))
			for range 300 {
				from := rnd.IntN(len(data) + 1)
				b := make([]byte, rnd.IntN(min(len(data)-from, 600<<10)+1))
				Expect(sr.ReadAt(b, uint64(from))).To(Succeed(), tc.name)
				Expect(bytes.Equal(b, data[from:from+len(b)])).To(BeTrue(), "%s: %d bytes at %d", tc.name, len(b), from)
			}
			Expect(sr.ReadAt(make([]byte, 2), uint64(len(data)-1))).NotTo(Succeed(), tc.name)

			whole, err := io.ReadAll(sr)
			Expect(err).NotTo(HaveOccurred(), tc.name)
			Expect(bytes.Equal(whole, data)).To(BeTrue(), tc.name)
			digest := consensus.NewSnapshotDigest(&meta)
			_, _ = digest.Write(data)
			Expect(sr.Snapshot().Size).To(BeEquivalentTo(len(data)), tc.name)
			Expect(sr.Snapshot().Digest).To(Equal(digest.Sum64()), tc.name)
			Expect(sr.Snapshot().Membership).To(Equal(meta.Membership), tc.name)
			Expect(sr.Close()).To(Succeed())
		}
	})

	It("is reported as damaged wherever a bit is flipped or its end is missing", func() {
		d, st := stored()
		whole := d.files[path].data
		damaged := func(b []byte) {
			d.files[path].data = b
			_, _, err := storage.Open(d.operations(), dir, 1)
			Expect(result.Is(err, result.DataFolderDamaged)).To(BeTrue(), "%v", err)
		}
		for at := 0; at < len(whole); at += 4001 {
			b := bytes.Clone(whole)
			b[at] ^= 4
			damaged(b)
			damaged(whole[:at])
		}
		for at := len(whole) - 40; at < len(whole); at++ {
			b := bytes.Clone(whole)
			b[at] ^= 4
			damaged(b)
			if at != len(whole)-17 { // there the digest begins, which earlier versions don't write
				damaged(whole[:at])
			}
		}
		damaged(append(bytes.Clone(whole), 0))

		// A part is checked before it is returned.
		b := bytes.Clone(whole)
		b[len(b)/2] ^= 4
		d.files[path].data = b
		sr, err := st.OpenSnapshot(meta.Index)
		Expect(err).NotTo(HaveOccurred())
		Expect(sr.ReadAt(make([]byte, 1000), 0)).To(Succeed())
		err = sr.ReadAt(make([]byte, 1000), uint64(len(data)/2))
		Expect(result.Is(err, result.DataFolderDamaged)).To(BeTrue(), "%v", err)
	})

	// Guards against a transfer that begins anew under each next leader, as it reads all that the follower has already.
	It("reads little more than what is asked for, at any offset", func() {
		const asked, record = 1000, 256 << 10
		d, st := stored()
		sr, err := st.OpenSnapshot(meta.Index)
		Expect(err).NotTo(HaveOccurred())
		d.readBytes = 0
		from := len(data) - 2*asked
		b := make([]byte, asked)
		Expect(sr.ReadAt(b, uint64(from))).To(Succeed())
		Expect(bytes.Equal(b, data[from:from+asked])).To(BeTrue())
		Expect(d.readBytes).To(BeNumerically("<", record+asked))
	})

	It("stays readable though a newer one has replaced it", func() {
		folder := GinkgoT().TempDir()
		st, _, err := storage.Open(storage.OSFiles(), folder, 1)
		Expect(err).NotTo(HaveOccurred())
		old := meta
		old.Data = data
		Expect(st.SaveSnapshot(old, false)).To(Succeed())
		sr, err := st.OpenSnapshot(meta.Index)
		Expect(err).NotTo(HaveOccurred())
		Expect(st.SaveSnapshot(consensus.Snapshot{Index: 20, Term: 3}, false)).To(Succeed())
		_, err = st.OpenSnapshot(meta.Index)
		Expect(err).To(HaveOccurred(), "the file is removed")
		b := make([]byte, len(data))
		Expect(sr.ReadAt(b, 0)).To(Succeed())
		Expect(bytes.Equal(b, data)).To(BeTrue())
		Expect(sr.Close()).To(Succeed())
		Expect(st.Close()).To(Succeed())
	})

	It("is passed to what restores it when the folder is opened, without a copy of the whole", func() {
		const size, maxExtraBytes = 24 << 20, 2 << 20
		folder := GinkgoT().TempDir()
		st, _, err := storage.Open(storage.OSFiles(), folder, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(st.SaveSnapshot(consensus.Snapshot{Index: 9, Term: 3, Data: make([]byte, size)}, false)).To(Succeed())
		Expect(st.Close()).To(Succeed())
		heapBytes := func() int64 {
			runtime.GC()
			var ms runtime.MemStats
			runtime.ReadMemStats(&ms)

			return int64(ms.HeapAlloc)
		}
		before, extra, read := heapBytes(), int64(0), 0
		st, re, err := storage.OpenWith(storage.OSFiles(), folder, 1, func(sn consensus.Snapshot, r io.Reader) error {
			Expect(sn.Index).To(BeEquivalentTo(9))
			for b := make([]byte, 100<<10); ; {
				n, err := r.Read(b)
				read += n
				extra = max(extra, heapBytes()-before)
				if err != nil {
					Expect(err).To(BeIdenticalTo(io.EOF))

					return nil
				}
			}
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(read).To(Equal(size))
		Expect(re.Snapshot.Size).To(BeEquivalentTo(size))
		Expect(re.Snapshot.Data).To(BeNil())
		Expect(extra).To(BeNumerically("<", maxExtraBytes))
		Expect(st.Close()).To(Succeed())
	})

	It("fails to be opened with the error of what restores it, and is checked to its end though that reads a part only", func() {
		d, _ := stored()
		invalid := errors.New("no valid state")
		_, _, err := storage.OpenWith(d.operations(), dir, 1, func(consensus.Snapshot, io.Reader) error { return invalid })
		Expect(err).To(BeIdenticalTo(invalid))
		ignore := func(_ consensus.Snapshot, r io.Reader) error {
			_, err := io.ReadFull(r, make([]byte, 10))

			return err
		}
		_, _, err = storage.OpenWith(d.operations(), dir, 1, ignore)
		Expect(err).NotTo(HaveOccurred())
		d.files[path].data[len(data)/2] ^= 4
		_, _, err = storage.OpenWith(d.operations(), dir, 1, ignore)
		Expect(result.Is(err, result.DataFolderDamaged)).To(BeTrue(), "%v", err)
	})
})
