package feed

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/logging"
)

// Guards against backend servers of an evacuated failure domain that get requests again, because
// a controller that lags or has just started sent an older state.
var _ = ginkgo.Describe("the evacuations of a follower", func() {
	states := []*State{
		{Evacuated: []string{"a"}, EvacuatedAt: 4},
		{Evacuated: []string{"a", "b"}, EvacuatedAt: 7},
		{Evacuated: []string{"b"}, Withdrawn: []Withdrawal{{FailureDomain: "a", Age: time.Second}}, EvacuatedAt: 9},
	}
	send := func(fo *Follower, controller string, from, to *State, at time.Time) {
		b, err := cbor.Marshal(diff(from, to))
		Expect(err).NotTo(HaveOccurred())
		var de stateDelta
		Expect(cbor.Unmarshal(b, &de)).To(Succeed())
		fo.applyDelta(controller, &de, at)
	}

	ginkgo.It("are those of the latest position in the log, whichever controller lags or restarts", func() {
		fo := NewFollower(Config{Log: logging.Discard()})
		now := time.Now()
		for _, tc := range []struct {
			controller string
			from, to   *State
			evacuated  []string
			isStopped  bool // the controller is lost before
		}{
			{"x", noState, states[1], []string{"a", "b"}, false},
			{"y", noState, states[0], []string{"a", "b"}, false},
			{"y", states[0], states[2], []string{"b"}, false},
			{"y", noState, noState, []string{"b"}, true},
			{"y", noState, states[0], []string{"b"}, false},
			{"x", states[1], states[1], []string{"b"}, false},
		} {
			if tc.isStopped {
				fo.dropController(tc.controller)
			}
			send(fo, tc.controller, tc.from, tc.to, now)
			Expect(fo.View().Evacuated).To(Equal(tc.evacuated))
		}
		Expect(fo.View().IsEvacuated("a")).To(BeFalse())
		Expect(fo.View().IsEvacuated("b")).To(BeTrue())
		Expect(fo.View().Withdrawn).To(Equal([]Withdrawn{{FailureDomain: "a", At: now.Add(-time.Second)}}))
	})

	ginkgo.It("were sent to all followers once AwaitSent returns, and a follower that was lost is not waited for", func() {
		sv := NewServer()
		await := func(position uint64, timeout time.Duration) bool {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()

			return sv.AwaitSent(ctx, func(st *State) bool { return st.EvacuatedAt >= position })
		}
		fos := []*sentState{{}, {}}
		for _, fo := range fos {
			sv.recordSent(fo, noState)
		}
		Expect(await(4, 10*time.Millisecond)).To(BeFalse(), "the state is not published")
		sv.Publish(states[0])
		Expect(await(4, 10*time.Millisecond)).To(BeFalse())
		sv.recordSent(fos[0], states[0])
		Expect(await(4, 10*time.Millisecond)).To(BeFalse())
		time.AfterFunc(10*time.Millisecond, func() { sv.recordSent(fos[1], states[0]) })
		Expect(await(4, 5*time.Second)).To(BeTrue())
		sv.Publish(states[1])
		sv.recordSent(fos[0], states[1])
		time.AfterFunc(10*time.Millisecond, func() { sv.forget(fos[1]) })
		Expect(await(7, 5*time.Second)).To(BeTrue())
	})

	// Guards against a wait that looks at all followers whenever one of them was sent something.
	ginkgo.It("are awaited at a cost that grows with the followers, and not with their square", func() {
		const followers = 500
		sv, looks := NewServer(), 0
		var fos []*sentState
		for range followers {
			fos = append(fos, &sentState{})
			sv.recordSent(fos[len(fos)-1], noState)
		}
		sw := sv.addWait(func(st *State) bool {
			looks++

			return st.EvacuatedAt >= 4
		})
		sv.Publish(states[0])
		for _, fo := range fos {
			Expect(sw.done).NotTo(BeClosed())
			sv.recordSent(fo, states[0])
		}
		Expect(sw.done).To(BeClosed())
		Expect(looks).To(BeNumerically("<=", 2*followers+2))
	})

	ginkgo.It("are sent without waiting for changes of backend servers", func() {
		Expect(states[0].isOlder(states[1])).To(BeTrue())
		Expect(states[1].isOlder(states[1])).To(BeFalse())
		Expect(diff(states[1], states[1]).isEmpty()).To(BeTrue())
		Expect(diff(states[0], states[1]).isEmpty()).To(BeFalse())
	})
})
