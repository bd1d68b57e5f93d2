package endtoend_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// pageInput is a fetch of a page or an acknowledgement of one.
type pageInput struct {
	page  uint64
	isAck bool
}

// pageOutput is the response: a body or the name of a refusal. unknown is set if the response
// was lost.
type pageOutput struct {
	body    string
	name    string
	unknown bool
}

// ledgerState is the state of the ledger of a step as its trainers can observe it.
type ledgerState struct {
	formed uint64 // the last page whose content is fixed
	acked  uint64
	body   string // of the last formed page, or unknownBody
}

// unknownBody stands for the content of a page that no trainer has received yet.
const unknownBody = "formed by a fetch whose answer was lost"

// ledgerModel specifies that each page has one content, that the next page is served only
// after the page before was acknowledged, and that an acknowledged page is never served again.
var ledgerModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{ledgerState{}} },
	Step: func(state, input, output any) []any {
		st, in, out := state.(ledgerState), input.(pageInput), output.(pageOutput)
		if in.isAck {
			return stepAck(st, in, out)
		}

		return stepFetch(st, in, out)
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// stepAck returns the states that may follow an acknowledgement.
func stepAck(st ledgerState, in pageInput, out pageOutput) []any {
	next := st
	next.acked = max(st.acked, in.page)
	switch {
	case out.unknown && in.page <= st.formed:
		return []any{st, next}
	case out.unknown, out.name == "pageNeverSent" && in.page > st.formed:
		return []any{st}
	case out.name == "" && in.page <= st.formed:
		return []any{next}
	}

	return nil
}

// stepFetch returns the states that may follow a fetch.
func stepFetch(st ledgerState, in pageInput, out pageOutput) []any {
	isNext := in.page == st.formed+1 && st.acked == st.formed
	next := ledgerState{formed: in.page, acked: st.acked, body: out.body}
	switch {
	case out.unknown && isNext:
		next.body = unknownBody

		return []any{st, next}
	case out.unknown, out.name == "pageNotReady":
		return []any{st}
	case out.name == "stepOver" && (in.page <= st.acked || isNext):
		return []any{st}
	case out.name == "pageFromFuture" && in.page > st.formed && !isNext:
		return []any{st}
	case out.name != "":
		return nil
	case isNext:
		return []any{next}
	case in.page == st.formed && st.acked < in.page && (st.body == out.body || st.body == unknownBody):
		return []any{next}
	}

	return nil
}

// trainerCall sends one fetch or acknowledgement to gateway i and records it.
func (st *setup) trainerCall(hi *ledgerHistory, c int, in pageInput, i int) pageOutput {
	call := time.Now().UnixNano()
	path := fmt.Sprintf("/v1/steps/s/pages/%d", in.page)
	var an answer
	if in.isAck {
		an = st.send(i, "alpha", http.MethodPost, path+"/ack", "")
	} else {
		an = st.send(i, "alpha", http.MethodGet, path+"?waitMs=300&max=16", "")
	}
	if errors.Is(an.err, syscall.ECONNREFUSED) {
		hi.mu.Lock()
		defer hi.mu.Unlock()
		hi.refused++

		return pageOutput{unknown: true} // no gateway received it, so it has no effect and is not recorded
	}
	out, end := pageOutput{name: an.Error.Name}, time.Now().UnixNano()
	switch {
	case an.err != nil || (an.status >= http.StatusInternalServerError && an.Error.Name != "pageNotReady"):
		out, end = pageOutput{unknown: true}, int64(1)<<62
	case an.Error.Name == "" && !in.isAck:
		out.body = an.body
	}
	hi.mu.Lock()
	defer hi.mu.Unlock()
	hi.ops = append(hi.ops, porcupine.Operation{ClientId: c, Input: in, Call: call, Output: out, Return: end})

	return out
}

// ledgerHistory collects the operations of concurrent trainers.
type ledgerHistory struct {
	mu      sync.Mutex
	ops     []porcupine.Operation
	refused int // calls whose connection was refused
}

var _ = Describe("the ledger of a step", func() {
	It("is linearizable for concurrent trainers while gateways are killed and restarted", func() {
		st := newSetup(setupConfig{engines: 3})
		Expect(st.Client(st.token["alpha"], 0).OpenStep(st.ctx, newStep("s", 12, 16, 24))).To(Succeed())
		hi := &ledgerHistory{}
		var wg sync.WaitGroup
		stop := make(chan struct{})
		for c := range 4 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer GinkgoRecover()
				rnd := rand.New(rand.NewPCG(uint64(c), 17))
				page := uint64(1)
				for {
					select {
					case <-stop:
						return
					default:
					}
					out := st.trainerCall(hi, c, pageInput{page: page}, rnd.IntN(3))
					switch {
					case out.body != "" && rnd.IntN(2) == 0:
						st.trainerCall(hi, c, pageInput{page: page, isAck: true}, rnd.IntN(3))
					case out.name == "stepOver":
						page++
					case out.name == "pageFromFuture" && page > 1:
						page--
					}
					switch rnd.IntN(20) { // requests that a correct client never sends
					case 0:
						st.trainerCall(hi, c, pageInput{page: page + 3, isAck: true}, rnd.IntN(3))
					case 1:
						st.trainerCall(hi, c, pageInput{page: page + 1}, rnd.IntN(3))
					}
				}
			}()
		}
		for range 2 {
			time.Sleep(500 * time.Millisecond)
			i := st.follower()
			st.KillGateway(i)
			time.Sleep(300 * time.Millisecond)
			Expect(st.StartGateway(i)).To(Succeed())
			time.Sleep(700 * time.Millisecond)
		}
		close(stop)
		wg.Wait()
		bodies, unknown := map[uint64]string{}, 0
		for _, op := range hi.ops {
			out, in := op.Output.(pageOutput), op.Input.(pageInput)
			if out.unknown {
				unknown++
			}
			if out.body != "" {
				bodies[in.page] = out.body
			}
		}
		GinkgoWriter.Println("operations", len(hi.ops), "unknown", unknown, "refused", hi.refused, "pages", len(bodies))
		Expect(len(bodies)).To(BeNumerically(">", 4), "the trainers must have received several pages")
		Expect(porcupine.CheckOperationsTimeout(ledgerModel, hi.ops, 30*time.Second)).To(Equal(porcupine.Ok))
	})
})
