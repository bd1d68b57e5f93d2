package settings_test

import (
	"bytes"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/settings"
)

const validGateway = `{
  // A cluster of one gateway.
  "name": "g1",
  "failureDomain": "a",
  "callerAddress": "127.0.0.1:8080",
  "operatorAddress": "127.0.0.1:8081",
  "peerAddress": "127.0.0.1:8082",
  "founders": [{"name": "g1", "address": "127.0.0.1:8082"}],
  %s
}`

var _ = Describe("the settings of a gateway", func() {
	It("have the default values", func() {
		var se settings.Gateway
		Expect(settings.Parse("x", []byte(fmt.Sprintf(validGateway, `"dataFolder": "/tmp/x",`)), &se)).To(Succeed())
		Expect(se.Times.FreshnessMs).To(Equal(5000))
		Expect(se.LogLevel).To(Equal("info"))
	})

	cases := []struct{ name, line, want string }{
		{"an unknown key", `"colour": 1`, `x:9: json: unknown field "colour"`},
		{"a wrong type", `"dataFolder": 7`, "x:9:"},
		{"a host name", `"upstreams": ["gateway.example:1"]`, `x:9: upstreams: "gateway.example:1" is not an IP number`},
		{"an address used twice", `"callerAddress": "127.0.0.1:8081"`, "operatorAddress: 127.0.0.1:8081 is also the callerAddress"},
		{"a founder at another address", `"founders": [{"name": "g1", "address": "127.0.0.1:9"}]`, `founder "g1" is at 127.0.0.1:9, but`},
		{"two founders at one address", `"founders": [{"name": "g1", "address": "127.0.0.1:8082"}, {"name": "g2", "address": "127.0.0.1:8082"}]`, `x:8: founders: founder "g2" at 127.0.0.1:8082 is listed twice`},
		{"contradictory times", `"times": {"electionMs": 100}`, "times.electionMs"},
		{"an unknown scheduler", `"policy": {"scheduler": "best"}`, "policy.scheduler"},
		{"incomplete TLS settings", `"tls": {"certificate": "x"}`, "must be set together"},
		{"an unknown log level", `"logLevel": "loud"`, "x:9: logLevel"},
		{"text after the object", `"logLevel": "info"} {`, "x: hujson: line 9"},
		{"invalid JSON", `"a": `, "x:"},
	}
	for _, tc := range cases {
		It("are refused with line and key because of "+tc.name, func() {
			var se settings.Gateway
			err := settings.Parse("x", []byte(fmt.Sprintf(validGateway, tc.line)), &se)
			Expect(result.Is(err, result.InvalidSettings)).To(BeTrue(), "%v", err)
			Expect(err.Error()).To(ContainSubstring(tc.want))
		})
	}

	It("can be listed with every key and default", func() {
		var b bytes.Buffer
		settings.WriteReference(&b, &settings.Gateway{})
		Expect(b.String()).To(ContainSubstring("times.freshnessMs"))
		Expect(b.String()).To(ContainSubstring("(default 5000)"))
	})
})

var _ = Describe("the settings of an agent", func() {
	cases := []struct{ name, text, want string }{
		{"a missing server", `{"gateways":["127.0.0.1:1"]}`, "server: must be set"},
		{"both a model and a service", `{"server":"s","model":"m","service":"s","gateways":["127.0.0.1:1"],"address":"127.0.0.1:2"}`, "exactly one"},
		{"missing gateways", `{"server":"s","model":"m","address":"127.0.0.1:2"}`, "gateways"},
		{"a host name", `{"server":"s","model":"m","address":"localhost:2","gateways":["127.0.0.1:1"]}`, "address"},
		{"a bind address with a port", `{"server":"s","model":"m","address":"127.0.0.1:2","gateways":["127.0.0.1:1"],"bind":"127.0.0.1:3"}`, "bind"},
	}
	for _, tc := range cases {
		It("are refused because of "+tc.name, func() {
			var se settings.Agent
			Expect(settings.Parse("x", []byte(tc.text), &se)).To(MatchError(ContainSubstring(tc.want)))
		})
	}
})
