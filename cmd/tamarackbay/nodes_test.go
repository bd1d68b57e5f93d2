package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestSuite(t *testing.T) { suite.Run(t, "tamarackbay") }

var _ = ginkgo.Describe("the table of nodes", func() {
	ginkgo.It("shows the gauges of each node, and the error of a node that does not respond", func() {
		me := meter.New()
		me.Gauge("configuration.version", 7)
		me.Gauge("group.leads", 1)
		me.RecordDuration("request", 0)
		sv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _ = me.WriteText(w) }))
		defer sv.Close()
		there := strings.TrimPrefix(sv.URL, "http://")

		var sb strings.Builder
		err := showNodes(&sb, []string{there, "127.0.0.1:1"}, func(address string) (map[string]int64, error) {
			return meter.Fetch(context.Background(), http.DefaultClient, address)
		})
		Expect(result.Is(err, result.BackendUnreachable)).To(BeTrue())
		lines := strings.Split(sb.String(), "\n")
		Expect(strings.Fields(lines[1])).To(Equal([]string{there, "7", "-", "-", "1", "-", "-", "-", "-", "-", "-", "-", "-"}))
		Expect(lines[2]).To(ContainSubstring("backendUnreachable"))
	})
})
