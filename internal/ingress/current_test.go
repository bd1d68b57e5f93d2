package ingress_test

import (
	"errors"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/ingress"
	"github.com/tamarackbay/tamarackbay/internal/logging"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/routing"
)

// Guards against a gateway without contact to the controllers that refuses for good what a newer
// configuration allows.
var _ = ginkgo.Describe("a request that the known configuration does not allow", func() {
	for _, tc := range []struct {
		name, path, key string
		code            result.Code // while the configuration is current
	}{
		{"no route", "/other/x", "k", result.UnknownRoute},
		{"no key", "/p/x", "", result.MissingKey},
		{"an unknown key", "/p/x", "other", result.UnknownKey},
		{"nothing missing", "/p/x", "k", 0},
	} {
		ginkgo.It("is to be sent again later if a newer one may be in force: "+tc.name, func() {
			ta := routing.NewTable(&routing.Config{
				Version: 1, Services: []routing.Service{{Name: "s"}}, Workspaces: []routing.Workspace{{Name: "w", Keys: []string{"k"}}},
				Routes: []routing.Route{{Name: "r", Host: "h", Prefix: "/p/", Timeout: time.Second, Targets: []routing.Target{{Service: "s", Weight: 1}}}},
			})
			var stale error
			in := ingress.New(ingress.Config{
				Table: func() *routing.Table { return ta }, Fresh: func() error { return nil }, Current: func() error { return stale },
				Meter: meter.New(), Log: logging.Discard(),
			})
			code := func() result.Code {
				_, _, err := in.Admit("h", tc.path, tc.key)
				if err == nil {
					return 0
				}
				if stale != nil {
					Expect(result.From(err).RetryAfter).NotTo(BeZero())
				}

				return result.From(err).Code
			}
			Expect(code()).To(Equal(tc.code))
			stale = errors.New("no confirmation")
			if tc.code != 0 {
				Expect(code()).To(Equal(result.StaleProcess))
			} else {
				Expect(code()).To(BeZero(), "what is known is served")
			}
		})
	}
})
