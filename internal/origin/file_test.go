package origin_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/logging"
	"github.com/tamarackbay/tamarackbay/internal/origin"
	"github.com/tamarackbay/tamarackbay/internal/storage"
)

var errRefused = errors.New("no space left on device")

// disk is a folder with clocks and faults of its own.
type disk struct {
	folder  string
	now     time.Duration
	wallMs  int64
	refuses bool // each write stores half of its bytes and fails
}

func (di *disk) open(ta *origin.Table) *origin.File {
	fi := storage.OSFiles()
	wrapped := func(open func(path string) (storage.File, error)) func(path string) (storage.File, error) {
		return func(path string) (storage.File, error) {
			f, err := open(path)
			write := f.Write
			f.Write = func(b []byte) (int, error) {
				if di.refuses {
					n, _ := write(b[:len(b)/2])

					return n, errRefused
				}

				return write(b)
			}

			return f, err
		}
	}
	fi.Append = wrapped(fi.Append)

	return origin.OpenFile(origin.FileConfig{
		Folder: di.folder, Files: fi, Now: func() time.Duration { return di.now }, WallMs: func() int64 { return di.wallMs }, Log: logging.Discard(),
	}, ta)
}

// pass lets time pass.
func (di *disk) pass(d time.Duration) { di.now, di.wallMs = di.now+d, di.wallMs+d.Milliseconds() }

// process is a controller with a disk.
type process struct {
	table *origin.Table
	file  *origin.File
}

func (di *disk) start() *process {
	pr := &process{table: origin.NewTable(origin.MaxOrigins)}
	pr.file = di.open(pr.table)

	return pr
}

func (pr *process) record(records ...origin.Record) { pr.file.Append(pr.table.Add(records)) }

func recordOf(i int, software string) origin.Record {
	return origin.Record{Key: origin.KeyOf("w", fmt.Sprint(i)), Origin: origin.Origin{Service: "s", Software: software}}
}

// known returns which of the streams 0 to n-1 a process knows.
func (pr *process) known(n int) []int {
	out := []int{}
	for i := range n {
		if pr.table.Find(recordOf(i, "").Key).IsFound {
			out = append(out, i)
		}
	}

	return out
}

// Guards against the loss of the origins of all streams with all processes, and against a
// record that is read from the disk differently from how it was written.
var _ = Describe("origins on the disk of a controller", func() {
	var di *disk
	BeforeEach(func() { di = &disk{folder: filepath.Join(GinkgoT().TempDir(), "origins"), wallMs: 1_800_000_000_000} })
	current := func() string { return filepath.Join(di.folder, "current") }
	change := func(f func(b []byte) []byte) {
		b, err := os.ReadFile(current())
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(current(), f(b), 0o600)).To(Succeed())
	}

	for _, tc := range []struct {
		name string
		harm func()
		want []int // of streams 0 to 3, each written in a batch of its own
	}{
		{"are known after a restart", func() {}, []int{0, 1, 2, 3}},
		{"are known after a restart but for a batch that was not written whole", func() {
			change(func(b []byte) []byte { return b[:len(b)-3] })
		}, []int{0, 1, 2}},
		{"are not read from a damaged batch, nor after it", func() {
			change(func(b []byte) []byte {
				b[len(b)/2+10] ^= 1

				return b
			})
		}, []int{0, 1}},
		{"are not read from a file of other contents", func() {
			change(func([]byte) []byte { return []byte("something else, longer than a header") })
		}, []int{}},
		{"are not known when the disk was emptied", func() { Expect(os.RemoveAll(di.folder)).To(Succeed()) }, []int{}},
		{"are known if the clock was set back", func() { di.wallMs -= 3_600_000 }, []int{0, 1, 2, 3}},
		{"are forgotten once they are too old", func() { di.pass(origin.Retention + time.Second) }, []int{}},
	} {
		It(tc.name, func() {
			pr := di.start()
			for i := range 4 {
				pr.record(recordOf(i, "v1"))
			}
			tc.harm()
			pr = di.start()
			Expect(pr.known(4)).To(Equal(tc.want))
			pr.record(recordOf(4, "v1"))
			Expect(di.start().known(5)).To(Equal(append(tc.want, 4)), "later records follow")
		})
	}

	It("stay ambiguous", func() {
		pr := di.start()
		pr.record(recordOf(0, "v1"))
		pr.record(recordOf(0, "v1.1"))
		pr = di.start()
		pr.record(recordOf(0, "v1")) // a gateway sends its records again
		Expect(pr.table.Find(recordOf(0, "").Key)).To(Equal(origin.Finding{IsAmbiguous: true}))
	})

	It("are in memory only while the disk refuses writes, and on it again afterwards", func() {
		pr := di.start()
		pr.record(recordOf(0, "v1"))
		di.refuses = true
		pr.record(recordOf(1, "v1"))
		pr.record(recordOf(2, "v1"))
		Expect(pr.known(3)).To(Equal([]int{0, 1, 2}))
		Expect(pr.file.Lost()).To(BeEquivalentTo(2))
		di.refuses = false
		di.pass(2 * time.Second)
		pr.record(recordOf(3, "v1"))
		Expect(di.start().known(4)).To(Equal([]int{0, 3}), "nothing remains of the half-written batch")
	})

	It("take a bounded space, however often gateways send them again", func() {
		pr := di.start()
		pr.record(recordOf(0, "v1"))
		before, err := os.Stat(current())
		Expect(err).NotTo(HaveOccurred())
		for range 100 {
			pr.record(recordOf(0, "v1"))
		}
		after, err := os.Stat(current())
		Expect(err).NotTo(HaveOccurred())
		Expect(after.Size()).To(Equal(before.Size()))

		var records []origin.Record
		for i := range 2*origin.MaxOrigins + 1000 {
			if records = append(records, recordOf(i, "v1")); len(records) == 1000 {
				pr.record(records...)
				records = nil
			}
		}
		total := int64(0)
		for _, segment := range []string{"current", "previous"} {
			st, err := os.Stat(filepath.Join(di.folder, segment))
			Expect(err).NotTo(HaveOccurred())
			total += st.Size()
		}
		Expect(total).To(BeNumerically("<", 10<<20))
		Expect(len(di.start().known(2*origin.MaxOrigins + 1000))).To(BeNumerically(">=", origin.MaxOrigins/2))
	})

	It("of the last Retention are known after each change of segments", func() {
		pr := di.start()
		const step = 10 * time.Second
		for i := range 100 {
			pr.record(recordOf(i, "v1"))
			if i%7 == 0 {
				pr = di.start()
			}
			oldest := max(0, i-int(origin.Retention/step))
			Expect(di.start().known(i + 1)[0]).To(Equal(oldest), "after stream %d", i)
			di.pass(step)
		}
	})
})

// BenchmarkRecord measures what a controller does for a stream whose origin it records.
func BenchmarkRecord(b *testing.B) {
	di := &disk{folder: b.TempDir(), wallMs: time.Now().UnixMilli()}
	pr := di.start()
	for i := 0; b.Loop(); i++ {
		pr.record(recordOf(i, "v1"))
	}
}
