package routing_test

import (
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/routing"
	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestSuite(t *testing.T) { suite.Run(t, "routing") }

// Guards against a request that runs in a region which its route or its workspace excludes.
var _ = ginkgo.Describe("the regions in which a request may run", func() {
	for _, tc := range []struct {
		name             string
		route, workspace []string
		want             []string
	}{
		{"are any where none is named", nil, nil, nil},
		{"are any where the lists are empty", []string{}, []string{}, nil},
		{"are those of the route", []string{"x", "y"}, nil, []string{"x", "y"}},
		{"are those of the workspace", nil, []string{"z"}, []string{"z"}},
		{"are those that both name", []string{"x", "y"}, []string{"y", "z"}, []string{"y"}},
		{"are none, and not any, where both name others", []string{"x"}, []string{"z"}, []string{}},
	} {
		ginkgo.It(tc.name, func() {
			ro := &routing.Route{Regions: tc.route}
			Expect(ro.AllowedRegions(&routing.Workspace{Regions: tc.workspace})).To(Equal(tc.want))
			if tc.workspace == nil {
				Expect(ro.AllowedRegions(nil)).To(Equal(tc.want))
			}
		})
	}
})

var _ = ginkgo.Describe("the service of a request", func() {
	ro := &routing.Route{Targets: []routing.Target{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}, {Service: "off"}}}
	for _, tc := range []struct {
		name    string
		allowed string
		want    map[string]int
	}{
		{"is picked by weight", "ab", map[string]int{"a": 75, "b": 25}},
		{"is the only one that is allowed", "b", map[string]int{"b": 100}},
		{"is picked among all if none is allowed", "", map[string]int{"a": 75, "b": 25}},
	} {
		ginkgo.It(tc.name, func() {
			got := map[string]int{}
			for i := range 100 {
				got[ro.PickAllowed(float64(i)/100, func(service string) bool { return strings.Contains(tc.allowed, service) })]++
			}
			Expect(got).To(Equal(tc.want))
		})
	}
})
