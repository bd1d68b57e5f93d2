package storage_test

import (
	"fmt"
	"io/fs"
	"math/rand/v2"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/storage"
)

// refusals makes a disk refuse some operations: the one at which it starts, and a number of
// those after it. A refused write may leave a part of its bytes.
type refusals struct {
	first, count int
	seen         int
	operations   []string
}

func (re *refusals) fault(op, path string) error {
	re.seen++
	if re.seen < re.first || re.seen >= re.first+re.count {
		return nil
	}
	re.operations = append(re.operations, op+" "+path)

	return errDisk
}

// resume resumes a store until the disk accepts its writes again.
func resume(st *storage.Store, limit int) {
	for range limit {
		if st.Resume() == nil {
			return
		}
	}
	Fail("the store was not resumed")
}

// leaderSends returns what a replica stores that receives a part of a snapshot and then a whole one.
func leaderSends() []consensus.Ready {
	dropped, sn := consensus.Snapshot{Index: 15, Term: 2}, consensus.Snapshot{Index: 20, Term: 3}
	parts := []consensus.SnapshotChunk{
		{Snapshot: sn, Data: make([]byte, 1<<20)},
		{Snapshot: sn, Offset: 1 << 20, Data: make([]byte, 1<<20)},
		{Snapshot: sn, Offset: 2 << 20, Data: make([]byte, 1<<20)},
		{Snapshot: sn, Offset: 3 << 20, Data: []byte("leader's")},
	}
	whole := sn
	digest := consensus.NewSnapshotDigest(&whole)
	for _, ch := range parts {
		whole.Size += uint64(len(ch.Data))
		_, _ = digest.Write(ch.Data)
	}
	whole.Digest = digest.Sum64()

	return []consensus.Ready{
		{Chunks: []consensus.SnapshotChunk{{Snapshot: dropped, Data: []byte("abc")}}},
		{Chunks: []consensus.SnapshotChunk{{Snapshot: dropped, Offset: 3, Data: []byte("def")}, parts[0], parts[1]}},
		{Chunks: parts[2:3]},
		{Chunks: parts[3:], Snapshot: &whole, HardState: &consensus.HardState{Term: 3}},
	}
}

var _ = Describe("a disk that refuses writes for a time", func() {
	// script is what a replica writes: entries, entries that replace others, a snapshot of its
	// own in many pieces, one from the leader in chunks, after a part of another one, and entries after each.
	script := func(write func(f func(st *storage.Store) error)) {
		saveEntries := func(es []consensus.Entry, hs *consensus.HardState) {
			write(func(st *storage.Store) error { return save(st, es, hs) })
		}
		saveEntries(entries(1, 4, 1), &consensus.HardState{Term: 1, Vote: "a"})
		saveEntries(entries(3, 3, 2), &consensus.HardState{Term: 2})
		write(func(st *storage.Store) error {
			return st.SaveSnapshot(consensus.Snapshot{Index: 2, Term: 1, Data: make([]byte, 3<<20)}, false)
		})
		saveEntries(entries(6, 2, 2), nil)
		for _, rd := range leaderSends() {
			write(func(st *storage.Store) error { return st.Save(&rd) })
		}
		saveEntries(entries(21, 3, 3), nil)
	}
	check := func(d *memoryDisk, what string) {
		for range 2 { // the loss of power changes nothing
			st, re, err := storage.Open(d.operations(), dir, 1)
			Expect(err).NotTo(HaveOccurred(), what)
			Expect(st.Failure()).NotTo(HaveOccurred(), what)
			Expect(re.HardState).To(Equal(consensus.HardState{Term: 3}), what)
			Expect(re.Snapshot.Index).To(BeEquivalentTo(20), what)
			Expect(re.Snapshot.Data).To(HaveLen(3<<20+8), what)
			Expect(string(re.Snapshot.Data[3<<20:])).To(Equal("leader's"), what)
			Expect(re.Entries).To(HaveLen(3), what)
			Expect(st.Close()).To(Succeed())
			d.crash(rand.New(rand.NewPCG(1, 1)))
		}
	}

	It("loses nothing and repeats what it refused, at each operation of a write, a snapshot and a new segment", func() {
		points := 0
		for first := 1; ; first++ {
			re := &refusals{first: first, count: 1 + first%4}
			d := newDisk()
			st, _, err := storage.Open(d.operations(), dir, 1)
			Expect(err).NotTo(HaveOccurred())
			d.fault = re.fault
			script(func(f func(st *storage.Store) error) {
				for f(st) != nil {
					resume(st, 20)
				}
			})
			if len(re.operations) == 0 {
				break // the script has no operation as late as that
			}
			points++
			what := fmt.Sprint(re.operations)
			d.fault = func(string, string) error { return nil }
			Expect(st.Close()).To(Succeed())
			check(d, what)
			names, err := d.operations().List(dir)
			Expect(err).NotTo(HaveOccurred())
			Expect(names).NotTo(ContainElement(HaveSuffix(".tmp")), what)
			Expect(names).NotTo(ContainElement(HaveSuffix(".part")), what)
			Expect(names).NotTo(ContainElement(HavePrefix("snapshot-0000000000000002")), what)
		}
		Expect(points).To(BeNumerically(">", 30))
	})

	It("loses nothing of a snapshot in chunks that it has stored, though a failed sync drops what was written", func() {
		rds := leaderSends()
		for at := 1; at < 8; at++ {
			d := newDisk()
			st, _, err := storage.Open(d.operations(), dir, 1)
			Expect(err).NotTo(HaveOccurred())
			seen := 0
			d.fault = func(op, path string) error {
				if op != "sync" || !strings.Contains(path, ".part") {
					return nil
				}
				if seen++; seen != at {
					return nil
				}
				d.files[path].lose()

				return errDisk
			}
			for i := range rds {
				for st.Save(&rds[i]) != nil {
					resume(st, 20)
				}
			}
			Expect(save(st, entries(21, 3, 3), nil)).To(Succeed())
			Expect(st.Close()).To(Succeed())
			if seen < at {
				Expect(at).To(BeNumerically(">", 2))

				break
			}
			d.crash(rand.New(rand.NewPCG(1, 1)))
			check(d, fmt.Sprintf("sync %d", at))
		}
	})

	It("cuts off the part of a write that was stored", func() {
		d := newDisk()
		st, _, err := storage.Open(d.operations(), dir, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(save(st, entries(1, 2, 1), nil)).To(Succeed())
		for part := range 60 {
			d.shortWriteBytes = part
			Expect(save(st, entries(3, 2, 1), nil)).NotTo(Succeed())
			Expect(st.Failure()).To(HaveOccurred())
			d.shortWriteBytes = -1
			Expect(st.Resume()).To(Succeed())
		}
		Expect(save(st, entries(3, 2, 1), nil)).To(Succeed())
		d.crash(rand.New(rand.NewPCG(2, 2)))
		_, re, err := storage.Open(d.operations(), dir, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(re.TornBytes).To(BeZero())
		Expect(re.Entries).To(HaveLen(4))
	})

	It("lets a store be opened to be read, and written once the disk accepts it", func() {
		for first := 1; first < 6; first++ {
			d := newDisk()
			st, _, err := storage.Open(d.operations(), dir, 1)
			Expect(err).NotTo(HaveOccurred())
			Expect(save(st, entries(1, 5, 1), &consensus.HardState{Term: 1})).To(Succeed())
			for p := range d.files {
				d.files[p].data = append(d.files[p].data, 1, 2, 3) // torn record
			}
			d.fault = func(op, _ string) error {
				if op == "mkdir" {
					return nil
				}

				return errDisk
			}
			st, re, err := storage.Open(d.operations(), dir, 1)
			Expect(err).NotTo(HaveOccurred())
			Expect(re.Entries).To(HaveLen(5))
			Expect(re.HardState.Term).To(BeEquivalentTo(1))
			Expect(result.Is(st.Failure(), result.DataFolderWrite)).To(BeTrue())
			Expect(save(st, entries(6, 1, 1), nil)).NotTo(Succeed())
			d.fault = (&refusals{first: first, count: 1}).fault
			resume(st, 3)
			Expect(save(st, entries(6, 1, 1), nil)).To(Succeed())
			d.crash(rand.New(rand.NewPCG(3, 3)))
			_, re, err = storage.Open(d.operations(), dir, 1)
			Expect(err).NotTo(HaveOccurred())
			Expect(re.Entries).To(HaveLen(6))
		}
	})

	It("is told from a missing permission, which does not pass by itself", func() {
		d := newDisk()
		st, _, err := storage.Open(d.operations(), dir, 1)
		Expect(err).NotTo(HaveOccurred())
		d.fault = func(string, string) error { return fs.ErrPermission }
		err = save(st, entries(1, 1, 1), nil)
		Expect(result.Is(err, result.DataFolderWrite)).To(BeTrue())
		Expect(storage.IsTransient(err)).To(BeFalse())
		d.fault = func(string, string) error { return nil }
		Expect(st.Resume()).To(MatchError(ContainSubstring("permission")))
	})
})
