package ingress_test

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/backend"
	"github.com/tamarackbay/tamarackbay/internal/routing"
)

// Guards against estimates that hold the time of failed or refused requests.
var _ = ginkgo.Describe("the work of a request", func() {
	slow := func(ctx context.Context, ca *backend.Call) (*backend.Answer, error) {
		time.Sleep(30 * time.Millisecond)

		return complete(200, "yes")(ctx, ca)
	}
	for _, tc := range []struct {
		name    string
		replies []reply
		kinds   int // known afterwards: the route and its service
	}{
		{"is learned from a complete answer", []reply{slow}, 2},
		{"is not learned from a refused request", []reply{notRun}, 0},
		{"is not learned from a failure", []reply{complete(500, "no")}, 0},
		{"is not learned from a broken connection", []reply{cutConnection}, 0},
	} {
		ginkgo.It(tc.name, func() {
			fi := newFixture(routing.Route{Kind: routing.Repeatable, MaxAttempts: 1}, tc.replies...)
			_ = fi.serve()
			kinds, _ := fi.work.Len()
			Expect(kinds).To(Equal(tc.kinds))
		})
	}
})
