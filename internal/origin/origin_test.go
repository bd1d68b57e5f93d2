package origin_test

import (
	"context"
	"errors"
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
	done   map[string]chan struct{} // closed to end the connections of a controller
	sole   map[string]string        // software version that a controller infers
	cut    map[string]bool
}

var addresses = []string{"a", "b", "c"}

var errCut = errors.New("cut off")

func newControllers() *controllers {
	cs := &controllers{tables: map[string]*origin.Table{}, done: map[string]chan struct{}{}, sole: map[string]string{}, cut: map[string]bool{}}
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
		Find: func(_ context.Context, address string, qu origin.Query) (origin.Finding, error) {
			cs.mu.Lock()
			defer cs.mu.Unlock()
			if cs.cut[address] {
				return origin.Finding{}, errCut
			}
			if or, ok := cs.tables[address].Find(qu.Key); ok {
				return origin.Finding{Origin: or, IsFound: true}, nil
			}
			software, ok := cs.sole[address]

			return origin.Finding{Origin: origin.Origin{Service: qu.Service, Software: software}, IsSole: ok}, nil
		},
	})
	bo.SetControllers(addresses) // takes effect with Run, however late that is scheduled
	started := make(chan struct{})
	go func() {
		close(started)
		bo.Run(ctx)
	}()
	<-started
	Eventually(func() bool {
		pe := bo.Begin(origin.KeyOf("probe", "x"), origin.Origin{})
		pe.Wait(ctx)
		_, err := bo.Find(ctx, origin.KeyOf("probe", "x"), "")

		return err == nil
	}).Should(BeTrue())

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
		return func() (origin.Origin, error) { return bo.Find(ctx, key, "s") }
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
				first.Begin(key, v1).Wait(ctx)
				_, err := second.Find(ctx, key, "s")

				return err
			}).Should(Succeed())
			tc.harm(cs)
			if tc.ok {
				Eventually(find(second)).Should(Equal(v1))

				return
			}
			_, err := second.Find(ctx, key, "s")
			Expect(result.Is(err, result.OriginUnknown)).To(BeTrue(), "%v", err)
			Expect(result.From(err).RetryAfter).To(BeNumerically(">", 0))
			Expect(first.Find(ctx, key, "s")).To(Equal(v1), "the gateway that began it knows it")
		})
	}

	for _, tc := range []struct {
		name string
		sole map[string]string
		cut  string
		ok   bool
	}{
		{"follows from the only version if every controller knows no other", map[string]string{"a": "v1", "b": "v1", "c": "v1"}, "", true},
		{"does not follow if a controller can't be reached", map[string]string{"a": "v1", "b": "v1", "c": "v1"}, "b", false},
		{"does not follow if controllers know different versions", map[string]string{"a": "v1", "b": "v1.1", "c": "v1"}, "", false},
		{"does not follow if a controller has not listened for long enough", map[string]string{"a": "v1", "c": "v1"}, "", false},
	} {
		It(tc.name, func() {
			cs := newControllers()
			bo := cs.newBook(ctx)
			cs.mu.Lock()
			cs.sole = tc.sole
			cs.mu.Unlock()
			cs.cutOff(tc.cut)
			or, err := bo.Find(ctx, origin.KeyOf("w", "unrecorded"), "s")
			Expect(err == nil).To(Equal(tc.ok), "%v", err)
			if tc.ok {
				Expect(or).To(Equal(v1))
			}
		})
	}

	It("differs between workspaces", func() {
		Expect(origin.KeyOf("w", "x")).NotTo(Equal(origin.KeyOf("v", "x")))
	})
})
