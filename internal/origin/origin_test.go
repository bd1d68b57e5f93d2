package origin_test

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/logging"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/origin"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestOrigin(t *testing.T) { suite.Run(t, "origin") }

// controllers are the controllers that books of a test talk to, by address.
type controllers struct {
	mu     sync.Mutex
	tables map[string]*origin.Table
	others map[string][]string      // backend servers with other software, by the controller that knows them
	done   map[string]chan struct{} // closed to end the connections of a controller
	cut    map[string]bool
	books  int // begun so far

	suspended string // address of a controller that answers no query
}

var addresses = []string{"a", "b", "c"}

var errCut = errors.New("cut off")

func newControllers() *controllers {
	cs := &controllers{tables: map[string]*origin.Table{}, done: map[string]chan struct{}{}, cut: map[string]bool{}}
	for _, a := range addresses {
		cs.restart(a)
	}

	return cs
}

// restart starts a controller anew, which ends its connections.
func (cs *controllers) restart(address string) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if done := cs.done[address]; done != nil {
		close(done)
	}
	cs.tables[address], cs.done[address] = origin.NewTable(100), make(chan struct{})
}

// cutOff makes controllers unreachable for queries and new connections.
func (cs *controllers) cutOff(addresses ...string) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, a := range addresses {
		cs.cut[a] = true
	}
}

// suspend makes a controller answer no query until the caller gives up.
func (cs *controllers) suspend(address string) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.suspended = address
}

func (cs *controllers) table(address string) *origin.Table {
	cs.mu.Lock()
	defer cs.mu.Unlock()

	return cs.tables[address]
}

// know reports whether all controllers have the records of a stream, which began at several origins
// if isAmbiguous is true.
func (cs *controllers) know(key origin.Key, isAmbiguous bool) bool {
	for _, a := range addresses {
		if fi := cs.table(a).Find(key); fi.IsFound == isAmbiguous || fi.IsAmbiguous != isAmbiguous {
			return false
		}
	}

	return true
}

func (cs *controllers) newBook(ctx context.Context) *origin.Book {
	bo := origin.NewBook(origin.Config{
		Meter: meter.New(), Log: logging.Discard(),
		Connect: func(ctx context.Context, address string) (origin.Session, error) {
			for {
				cs.mu.Lock()
				ta, done, isCut := cs.tables[address], cs.done[address], cs.cut[address]
				cs.mu.Unlock()
				if !isCut {
					return origin.Session{Done: done, Record: func(_ context.Context, records []origin.Record) error {
						ta.Add(records)

						return nil
					}}, nil
				}
				select {
				case <-time.After(time.Millisecond):
				case <-ctx.Done():
					return origin.Session{}, ctx.Err()
				}
			}
		},
		Find: func(ctx context.Context, address string, qu origin.Query) (origin.Finding, error) {
			cs.mu.Lock()
			isSuspended := cs.suspended == address
			cs.mu.Unlock()
			if isSuspended {
				<-ctx.Done()

				return origin.Finding{}, ctx.Err()
			}
			cs.mu.Lock()
			defer cs.mu.Unlock()
			if cs.cut[address] {
				return origin.Finding{}, errCut
			}

			fi := cs.tables[address].Find(qu.Key)
			fi.OtherSoftware = cs.others[address]

			return fi, nil
		},
	})
	bo.SetControllers(addresses) // takes effect with Run, however late that is scheduled
	started := make(chan struct{})
	go func() {
		close(started)
		bo.Run(ctx)
	}()
	<-started
	cs.mu.Lock()
	cs.books++
	probe := origin.KeyOf("probe", strconv.Itoa(cs.books))
	cs.mu.Unlock()
	bo.Begin(origin.Record{Key: probe})
	Eventually(func() bool { return cs.know(probe, false) }).Should(BeTrue())

	return bo
}

var _ = Describe("the origin of a stream", func() {
	key, v1 := origin.KeyOf("w", "attempt"), origin.Origin{Service: "s", Software: "v1"}
	var ctx context.Context
	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		DeferCleanup(cancel)
	})
	find := func(bo *origin.Book) func() (origin.Origin, error) {
		return func() (origin.Origin, error) { return originOf(ctx, bo, key) }
	}

	for _, tc := range []struct {
		name string
		harm func(cs *controllers)
		ok   bool
	}{
		{"is known at another gateway", func(*controllers) {}, true},
		{"is known while all controllers but one are cut off", func(cs *controllers) { cs.cutOff("a", "b") }, true},
		{"is known after all controllers have restarted", func(cs *controllers) {
			for _, a := range addresses {
				cs.restart(a)
			}
		}, true},
		{"is not known while no controller can be reached", func(cs *controllers) { cs.cutOff(addresses...) }, false},
	} {
		It(tc.name, func() {
			cs := newControllers()
			first, second := cs.newBook(ctx), cs.newBook(ctx)
			Eventually(func() error {
				first.Begin(origin.Record{Key: key, Origin: v1}).Wait(ctx)
				_, err := second.Find(ctx, key)

				return err
			}).Should(Succeed())
			tc.harm(cs)
			if tc.ok {
				Eventually(find(second)).Should(Equal(v1))

				return
			}
			_, err := second.Find(ctx, key)
			Expect(result.Is(err, result.OriginUnknown)).To(BeTrue(), "%v", err)
			Expect(result.From(err).RetryAfter).To(BeNumerically(">", 0))
			Expect(originOf(ctx, first, key)).To(Equal(v1), "the gateway that began it knows it")
		})
	}

	v2 := origin.Origin{Service: "s", Software: "v1.1"}
	for _, tc := range []struct {
		name          string
		first, second origin.Origin // of two attempts with the same ID, at two gateways
		ok            bool
	}{
		{"is not known if an attempt with the same ID began at another version", v1, v2, false},
		{"is not known if an attempt with the same ID began at another service", v1, origin.Origin{Service: "t", Software: "v1"}, false},
		{"is known if all attempts with the same ID began at one version", v1, v1, true},
	} {
		It(tc.name, func() {
			cs := newControllers()
			first, second, third := cs.newBook(ctx), cs.newBook(ctx), cs.newBook(ctx)
			first.Begin(origin.Record{Key: key, Origin: tc.first}).Wait(ctx)
			second.Begin(origin.Record{Key: key, Origin: tc.second}).Wait(ctx)
			Eventually(func() bool { return cs.know(key, !tc.ok) }).Should(BeTrue())
			cs.restart("b") // both send their records again, in any order
			for _, bo := range []*origin.Book{first, second, third} {
				or, err := originOf(ctx, bo, key)
				Expect(err == nil).To(Equal(tc.ok), "%v", err)
				if tc.ok {
					Expect(or).To(Equal(v1))
				} else {
					Expect(result.Is(err, result.OriginUnknown)).To(BeTrue(), "%v", err)
				}
			}
		})
	}

	It("is not known where two controllers know different ones", func() {
		cs := newControllers()
		bo := cs.newBook(ctx)
		cs.table("a").Add([]origin.Record{{Key: key, Origin: v1}})
		cs.table("c").Add([]origin.Record{{Key: key, Origin: v2}})
		_, err := bo.Find(ctx, key)
		Expect(result.Is(err, result.OriginUnknown)).To(BeTrue(), "%v", err)
	})

	It("comes with the backend servers of which any controller knows that they run other software", func() {
		cs := newControllers()
		cs.others = map[string][]string{"a": {"s1"}, "c": {"s2"}}
		for _, address := range []string{"a", "b", "c"} {
			cs.table(address).Add([]origin.Record{{Key: key, Origin: v1}})
		}
		bo := cs.newBook(ctx)
		fi, err := bo.Find(ctx, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(fi.OtherSoftware).To(ConsistOf("s1", "s2"))
	})

	It("is found soon while a controller does not answer", func() {
		cs := newControllers()
		bo := cs.newBook(ctx)
		cs.table("a").Add([]origin.Record{{Key: key, Origin: v1}})
		cs.suspend("b")
		began := time.Now()
		Expect(originOf(ctx, bo, key)).To(Equal(v1))
		Expect(time.Since(began)).To(BeNumerically("<", 150*time.Millisecond))
	})

	It("is not inferred if nobody recorded it", func() {
		_, err := newControllers().newBook(ctx).Find(ctx, key)
		Expect(result.Is(err, result.OriginUnknown)).To(BeTrue(), "%v", err)
	})

	for _, tc := range []struct {
		name   string
		bornMs int64 // of the incarnation that is known when the stream is resumed
		may    bool
	}{
		{"may not be of an incarnation that started after its first event", 10_400, false},
		{"may be of one that started before its first event", 9_000, true},
		{"may be of one that started a little later, as clocks differ", 10_100, true},
		{"may not be of another one than the gateway knew if that is still there", 1_000, false},
	} {
		It(tc.name, func() {
			re := origin.Record{Server: "e", BornMs: 1_000, BegunMs: 10_000}
			Expect(re.MayBeOf(tc.bornMs)).To(Equal(tc.may))
		})
	}

	It("keeps its backend server when another gateway records a resume", func() {
		ta := origin.NewTable(10)
		began := origin.Record{Key: key, Origin: v1, Server: "e", BornMs: 1, BegunMs: 2}
		ta.Add([]origin.Record{began, {Key: key, Origin: v1}})
		re, _ := ta.Record(key)
		Expect(re).To(Equal(began))
	})

	It("differs between workspaces", func() {
		Expect(origin.KeyOf("w", "x")).NotTo(Equal(origin.KeyOf("v", "x")))
	})
})

// originOf returns the origin that a book finds.
func originOf(ctx context.Context, bo *origin.Book, key origin.Key) (origin.Origin, error) {
	fi, err := bo.Find(ctx, key)

	return fi.Origin, err
}
