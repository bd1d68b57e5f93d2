package storage_test

import (
	"bytes"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/storage"
)

const dir = "/data/group-1"

// maxRecordBytes is the size limit of a record, as in package storage.
const maxRecordBytes = 64 << 20

func entries(first, n int, term uint64) []consensus.Entry {
	out := make([]consensus.Entry, n)
	for i := range out {
		out[i] = consensus.Entry{Index: uint64(first + i), Term: term, Data: []byte(fmt.Sprintf("entry %d of term %d", first+i, term))}
	}

	return out
}

func save(st *storage.Store, es []consensus.Entry, hs *consensus.HardState) error {
	return st.Save(&consensus.Ready{Entries: es, HardState: hs})
}

var _ = Describe("a store", func() {
	It("recovers after a crash everything that Save reported as stored", func() {
		for seed := range uint64(200) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			d := newDisk()
			var want []consensus.Entry
			var hs consensus.HardState
			base := uint64(0)
			for range 6 {
				st, re, err := storage.Open(d.operations(), dir, 1)
				Expect(err).NotTo(HaveOccurred(), "seed %d", seed)
				Expect(re.Snapshot.Index).To(Equal(base))
				Expect(len(re.Entries)).To(BeNumerically(">=", len(want)), "seed %d", seed)
				for i := range want {
					Expect(re.Entries[i]).To(Equal(want[i]), "seed %d", seed)
				}
				Expect(re.HardState.Term).To(BeNumerically(">=", hs.Term))
				want, hs = re.Entries, re.HardState

				crashAt := rnd.IntN(40)
				n := 0
				d.fault = func(op, _ string) error {
					if n++; n > crashAt && op != "mkdir" {
						return errDisk
					}

					return nil
				}
				for {
					next := base + uint64(len(want)) + 1
					if len(want) > 4 && rnd.IntN(4) == 0 {
						next -= uint64(rnd.IntN(3)) // a new leader overwrites a tail
					}
					es := entries(int(next), 1+rnd.IntN(5), hs.Term+1)
					nhs := consensus.HardState{Term: hs.Term + 1, Vote: "r1"}
					if save(st, es, &nhs) != nil {
						want = want[:next-base-1] // the overwritten tail may or may not survive
						break
					}
					want, hs = append(want[:next-base-1:next-base-1], es...), nhs
					if rnd.IntN(5) > 0 {
						continue
					}
					at := base + uint64(len(want))
					sn := consensus.Snapshot{Index: at, Term: hs.Term, Data: []byte("state")}
					if st.SaveSnapshot(sn, false) != nil {
						break
					}
					base, want = at, nil
				}
				d.crash(rnd)
				// The snapshot may be stored although SaveSnapshot returned an error.
				if _, re, err := storage.Open(d.operations(), dir, 1); err == nil && re.Snapshot.Index > base {
					want = want[re.Snapshot.Index-base:]
					base = re.Snapshot.Index
				}
			}
		}
	})

	damage := []struct {
		name   string
		inject func(d *memoryDisk)
		code   result.Code
	}{
		{"a flipped bit in the middle of the log", func(d *memoryDisk) { flipBit(d, "log-", 0.4) }, result.DataFolderDamaged},
		{"a flipped bit in a snapshot", func(d *memoryDisk) { flipBit(d, "snapshot-", 0.7) }, result.DataFolderDamaged},
		{"a newer format", func(d *memoryDisk) {
			for p, f := range d.files {
				if strings.Contains(p, "log-") {
					f.data = storage.EncodeHeader(storage.FormatVersion + 1)
				}
			}
		}, result.DataFolderNewer},
	}
	for _, tc := range damage {
		It("fails to open a folder with "+tc.name+" and names the folder in the error", func() {
			d := newDisk()
			st, _, err := storage.Open(d.operations(), dir, 1)
			Expect(err).NotTo(HaveOccurred())
			Expect(save(st, entries(1, 20, 1), nil)).To(Succeed())
			Expect(st.SaveSnapshot(consensus.Snapshot{Index: 10, Term: 1, Data: make([]byte, 400)}, false)).To(Succeed())
			tc.inject(d)
			_, _, err = storage.Open(d.operations(), dir, 1)
			Expect(result.Is(err, tc.code)).To(BeTrue(), "%v", err)
			Expect(err.Error()).To(ContainSubstring(dir))
		})
	}

	It("fails to open a folder that lost the end of an older segment, even if no entry follows the gap", func() {
		d := newDisk()
		st, _, err := storage.Open(d.operations(), dir, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(save(st, entries(1, 20, 1), nil)).To(Succeed())
		before := len(d.files[segmentPaths(d)[0]].data)
		Expect(save(st, entries(21, 1, 1), nil)).To(Succeed())
		_, _, err = storage.Open(d.operations(), dir, 1)
		Expect(err).NotTo(HaveOccurred())
		f := d.files[segmentPaths(d)[0]]
		f.data = f.data[:before]
		_, _, err = storage.Open(d.operations(), dir, 1)
		Expect(result.Is(err, result.DataFolderDamaged)).To(BeTrue(), "%v", err)
		Expect(err.Error()).To(ContainSubstring("entries up to 21"))
	})

	It("fails to open a folder with a flipped bit in an entry that is larger than the part that is searched for records", func() {
		d := newDisk()
		st, _, err := storage.Open(d.operations(), dir, 1)
		Expect(err).NotTo(HaveOccurred())
		large := entries(1, 1, 1)
		large[0].Data = make([]byte, 3<<20)
		Expect(save(st, large, nil)).To(Succeed())
		Expect(save(st, entries(2, 1, 1), nil)).To(Succeed())
		flipBit(d, "log-", 0.5)
		_, _, err = storage.Open(d.operations(), dir, 1)
		Expect(result.Is(err, result.DataFolderDamaged)).To(BeTrue(), "%v", err)
	})

	faults := []struct {
		name string
		op   string
	}{
		{"a failed sync", "sync"}, {"a full disk", "write"}, {"a failed sync of the folder", "syncDir"},
	}
	for _, tc := range faults {
		It("fails all further writes after "+tc.name, func() {
			d := newDisk()
			st, _, err := storage.Open(d.operations(), dir, 1)
			Expect(err).NotTo(HaveOccurred())
			failing := true
			d.fault = func(op, _ string) error {
				if failing && op == tc.op {
					return errDisk
				}

				return nil
			}
			sn := consensus.Snapshot{Index: 1, Term: 1}
			err = st.Save(&consensus.Ready{Chunks: []consensus.SnapshotChunk{{Snapshot: sn}}, Entries: entries(1, 1, 1), Snapshot: &sn})
			Expect(result.Is(err, result.DataFolderWrite)).To(BeTrue(), "%v", err)
			failing = false
			Expect(save(st, entries(2, 1, 1), nil)).NotTo(Succeed(), "after one failure the state of the disk is unknown")
		})
	}

	It("reports a short write as an error", func() {
		d := newDisk()
		st, _, err := storage.Open(d.operations(), dir, 1)
		Expect(err).NotTo(HaveOccurred())
		d.shortWriteBytes = 11
		Expect(save(st, entries(1, 3, 1), nil)).NotTo(Succeed())
	})

	It("fails to open a folder without write permission", func() {
		d := newDisk()
		d.fault = func(op, _ string) error {
			if op == "open" || op == "mkdir" {
				return fs.ErrPermission
			}

			return nil
		}
		_, _, err := storage.Open(d.operations(), dir, 1)
		Expect(result.Is(err, result.DataFolderWrite)).To(BeTrue(), "%v", err)
	})

	It("syncs recovered entries that a killed process wrote without a sync", func() {
		for seed := range uint64(20) {
			d := newDisk()
			st, _, err := storage.Open(d.operations(), dir, 1)
			Expect(err).NotTo(HaveOccurred())
			Expect(st.Save(&consensus.Ready{Entries: []consensus.Entry{{Index: 1, Term: 1}}})).To(Succeed())
			d.fault = func(op, _ string) error {
				if op == "sync" {
					return errDisk
				}

				return nil
			}
			Expect(st.Save(&consensus.Ready{Entries: []consensus.Entry{{Index: 2, Term: 1}, {Index: 3, Term: 1}}})).NotTo(Succeed())
			d.fault = func(string, string) error { return nil }

			// The page cache still holds the unsynced entries, so that the new process recovers them.
			// They must also survive the loss of power below.
			st, re, err := storage.Open(d.operations(), dir, 1)
			Expect(err).NotTo(HaveOccurred())
			Expect(re.Entries).To(HaveLen(3))
			Expect(st.Save(&consensus.Ready{Entries: []consensus.Entry{{Index: 4, Term: 2}}})).To(Succeed())

			d.crash(rand.New(rand.NewPCG(seed, 1)))
			_, re, err = storage.Open(d.operations(), dir, 1)
			Expect(err).NotTo(HaveOccurred())
			Expect(re.Entries).To(HaveLen(4))
		}
	})

	It("stores and recovers on the operating system's files", func() {
		folder, err := os.MkdirTemp("", "storage-")
		Expect(err).NotTo(HaveOccurred())
		defer os.RemoveAll(folder)
		st, _, err := storage.Open(storage.OSFiles(), folder, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(save(st, entries(1, 100, 1), &consensus.HardState{Term: 1, Vote: "a"})).To(Succeed())
		Expect(st.SaveSnapshot(consensus.Snapshot{Index: 50, Term: 1, Data: []byte("fifty")}, false)).To(Succeed())
		Expect(st.Close()).To(Succeed())
		_, re, err := storage.Open(storage.OSFiles(), folder, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(re.Snapshot.Data).To(Equal([]byte("fifty")))
		Expect(re.Entries).To(HaveLen(50))
		Expect(re.HardState.Vote).To(Equal(consensus.ReplicaID("a")))
	})
})

var _ = Describe("a stored snapshot", func() {
	It("does not hold its data in memory until it is read", func() {
		const size = 32 << 20
		folder, err := os.MkdirTemp("", "storage-")
		Expect(err).NotTo(HaveOccurred())
		defer os.RemoveAll(folder)
		heapBytes := func() int64 {
			runtime.GC()
			var ms runtime.MemStats
			runtime.ReadMemStats(&ms)

			return int64(ms.HeapAlloc)
		}
		st, _, err := storage.Open(storage.OSFiles(), folder, 1)
		Expect(err).NotTo(HaveOccurred())
		before := heapBytes()
		Expect(st.SaveSnapshot(consensus.Snapshot{Index: 50, Term: 1, Data: make([]byte, size)}, false)).To(Succeed())
		Expect(heapBytes()-before).To(BeNumerically("<", size/4), "heap growth after saving the snapshot")
		Expect(st.Close()).To(Succeed())

		before = heapBytes()
		st, _, err = storage.Open(storage.OSFiles(), folder, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(heapBytes()-before).To(BeNumerically("<", size/4), "heap growth after a restart")
		sr, err := st.OpenSnapshot(50)
		Expect(err).NotTo(HaveOccurred())
		data, err := io.ReadAll(sr)
		Expect(err).NotTo(HaveOccurred())
		Expect(sr.Snapshot().Index).To(Equal(uint64(50)))
		Expect(data).To(Equal(make([]byte, size)))
		Expect(sr.Close()).To(Succeed())
		Expect(st.Close()).To(Succeed())
	})

	It("may exceed the size limit of a record, and is written without a copy of its data", func() {
		data := make([]byte, maxRecordBytes+(5<<20))
		for i := range data {
			data[i] = byte(i * 7)
		}
		folder, err := os.MkdirTemp("", "storage-")
		Expect(err).NotTo(HaveOccurred())
		defer os.RemoveAll(folder)
		st, _, err := storage.Open(storage.OSFiles(), folder, 1)
		Expect(err).NotTo(HaveOccurred())
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		Expect(st.SaveSnapshot(consensus.Snapshot{Index: 50, Term: 1, Data: data}, false)).To(Succeed())
		runtime.ReadMemStats(&after)
		Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", len(data)/4))
		Expect(st.Close()).To(Succeed())
		st, re, err := storage.Open(storage.OSFiles(), folder, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(re.Snapshot.Data, data)).To(BeTrue())
		Expect(st.Close()).To(Succeed())
	})

	It("can be read in format version 1", func() {
		folder, err := os.MkdirTemp("", "storage-")
		Expect(err).NotTo(HaveOccurred())
		defer os.RemoveAll(folder)
		old := consensus.Snapshot{Index: 7, Term: 2, Data: []byte("state")}
		Expect(os.WriteFile(filepath.Join(folder, fmt.Sprintf("snapshot-%016d", 7)), storage.EncodeSnapshotV1(old), 0o600)).To(Succeed())
		st, re, err := storage.Open(storage.OSFiles(), folder, 1)
		Expect(err).NotTo(HaveOccurred())
		digest := consensus.NewSnapshotDigest(&old)
		_, _ = digest.Write(old.Data)
		old.Size, old.Digest = 5, digest.Sum64()
		Expect(re.Snapshot).To(Equal(old))
		Expect(st.Close()).To(Succeed())
	})
})

// flipBit flips one bit in a file whose name contains kind, at the given fraction of its size.
func flipBit(d *memoryDisk, kind string, part float64) {
	for p, f := range d.files {
		if strings.Contains(p, kind) && len(f.data) > 100 {
			f.data[int(part*float64(len(f.data)))] ^= 4

			return
		}
	}
	Fail("no file is large enough to flip a bit")
}

// segmentPaths returns the paths of the log segments, oldest first.
func segmentPaths(d *memoryDisk) []string {
	var out []string
	for p := range d.files {
		if strings.Contains(p, "log-") {
			out = append(out, p)
		}
	}
	slices.Sort(out)

	return out
}
