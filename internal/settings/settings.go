// Package settings reads and validates the settings files of the programs, which are
// JSON with comments. Errors name the line and the key.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"reflect"
	"regexp"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"github.com/tamarackbay/tamarackbay/internal/result"
)

// TLS names the files for TLS on listeners and between the deployment's processes.
type TLS struct {
	Certificate string `json:"certificate" help:"PEM file, read again when it changes"`
	Key         string `json:"key" help:"PEM file of the private key"`
	CA          string `json:"ca" help:"PEM file of the authorities that other own processes are checked against"`
}

// IsSet reports whether TLS is used.
func (t TLS) IsSet() bool { return t.Certificate != "" }

// Founder is one of the gateways that form the cluster.
type Founder struct {
	Name    string `json:"name" help:"the founder's name"`
	Address string `json:"address" help:"its peerAddress"`
}

// Operator is a person or program that may change the configuration.
type Operator struct {
	Name      string `json:"name" help:"shown in the history"`
	TokenHash string `json:"tokenHash" help:"SHA-256 of the operator's token in hex, as tamarackbay ctl hash prints it"`
}

// ExternalServices holds the addresses of the platform's interfaces. An empty address disables
// the functions that use the interface.
type ExternalServices struct {
	WeightStore string `json:"weightStore" help:"address of the weight store"`
	Ordering    string `json:"ordering" help:"address of the interface that orders backend servers"`
	Usage       string `json:"usage" help:"address of the interface that takes usage reports"`
	Scorer      string `json:"scorer" help:"address of the service that scores samples"`
}

// Policy replaces the default policies by simple baselines, for comparison.
type Policy struct {
	Scheduler     string `json:"scheduler" help:"score, roundRobin or leastInFlight"`
	NoFairness    bool   `json:"noFairness" help:"first come, first served, whatever the workspace"`
	NoSpread      bool   `json:"noSpread" help:"the gateway of a step places all its samples"`
	NoHedging     bool   `json:"noHedging" help:"stragglers are never raced"`
	NoRetryBudget bool   `json:"noRetryBudget" help:"every failed attempt is tried again"`
}

// Times holds the periods and limits of a gateway, in milliseconds.
type Times struct {
	ElectionMs     int `json:"electionMs" default:"500" help:"silence of a leader after which an election starts"`
	HeartbeatMs    int `json:"heartbeatMs" default:"100" help:"period of a leader's heartbeats"`
	FreshnessMs    int `json:"freshnessMs" default:"5000" help:"a process that has heard nothing from the group for so long refuses work"`
	ReplaceAfterMs int `json:"replaceAfterMs" default:"30000" help:"silence of a voter after which a spare takes its place"`
	LeaseMs        int `json:"leaseMs" default:"3000" help:"how long a lease lasts"`
	MaxCallMs      int `json:"maxCallMs" default:"1000" help:"longest outside call under a lease"`
	BalancerLagMs  int `json:"balancerLagMs" default:"1000" help:"how long new work is still taken after the health check fails"`
	DrainMs        int `json:"drainMs" default:"60000" help:"how long running requests may take after that"`
	BodyMs         int `json:"bodyMs" default:"10000" help:"how long the body of a request may stand still"`
}

// Gateway holds the settings of a gateway.
type Gateway struct {
	Name             string           `json:"name" help:"unique among the gateways"`
	FailureDomain    string           `json:"failureDomain" help:"where this VM stands"`
	CallerAddress    string           `json:"callerAddress" help:"IP number and port for callers, trainers and the balancer"`
	OperatorAddress  string           `json:"operatorAddress" help:"IP number and port for operators and metrics"`
	PeerAddress      string           `json:"peerAddress" help:"IP number and port for gateways and agents"`
	DataFolder       string           `json:"dataFolder" help:"folder of the replica's state; empty for a gateway without a disk"`
	Founders         []Founder        `json:"founders" help:"the gateways that form the cluster, the same list everywhere"`
	Upstreams        []string         `json:"upstreams" help:"peer addresses that a gateway without a disk follows; the founders where empty"`
	Operators        []Operator       `json:"operators" help:"who may change the configuration"`
	ExternalServices ExternalServices `json:"outside" help:"the platform's interfaces"`
	TLS              TLS              `json:"tls" help:"TLS of callers, operators and, mutually, of own processes"`
	Times            Times            `json:"times" help:"periods and bounds"`
	Policy           Policy           `json:"policy" help:"baselines for comparison"`
	MaxHeaderBytes   int              `json:"maxHeaderBytes" default:"32768" help:"largest header of a request"`
	MemoryMB         int              `json:"memoryMB" default:"1024" help:"memory of the process in MiB: bodies of requests may take a third, connections of callers a quarter"`
	LogLevel         string           `json:"logLevel" default:"info" help:"debug, info, warn or error"`
}

// Agent holds the settings of an agent.
type Agent struct {
	Server        string   `json:"server" help:"name of the backend server"`
	Class         string   `json:"class" help:"its class in the configuration"`
	Model         string   `json:"model" help:"the model it serves, if it is an engine"`
	Service       string   `json:"service" help:"the plain service it is, if it is one"`
	Address       string   `json:"address" help:"IP number and port of the backend server"`
	Bind          string   `json:"bind" help:"IP number that is dialled from"`
	FailureDomain string   `json:"failureDomain" help:"where this VM stands"`
	Slots         int      `json:"slots" default:"8" help:"requests that it runs at once"`
	ChecksFencing bool     `json:"checksFencing" help:"whether the engine refuses old fencing numbers itself"`
	Order         string   `json:"order" help:"ID of the order that started it"`
	Gateways      []string `json:"gateways" help:"peer addresses of gateways"`
	TLS           TLS      `json:"tls" help:"mutual TLS with the gateways"`
	DrainMs       int      `json:"drainMs" default:"60000" help:"how long running requests may take after a stop signal"`
	LogLevel      string   `json:"logLevel" default:"info" help:"debug, info, warn or error"`
}

// Milliseconds converts milliseconds to a duration.
func Milliseconds(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

// Load reads the file at path into v, a pointer to Gateway or Agent, and validates it.
func Load(path string, v interface{ Validate() error }) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return result.New(result.InvalidSettings, "settings: %v", err)
	}

	return Parse(path, b, v)
}

// Parse reads the contents of a settings file into v and validates it. Errors contain
// name as the file's name.
func Parse(name string, b []byte, v interface{ Validate() error }) error {
	std, err := hujson.Standardize(bytes.Clone(b))
	if err != nil {
		return result.New(result.InvalidSettings, "settings: %s: %v", name, err)
	}

	Defaults(v)
	de := json.NewDecoder(bytes.NewReader(std))
	de.DisallowUnknownFields()
	if err := de.Decode(v); err != nil {
		return result.New(result.InvalidSettings, "settings: %s:%d: %v", name, lineOfDecodeError(std, de, err), err)
	}
	if _, err := de.Token(); !errors.Is(err, io.EOF) {
		return result.New(result.InvalidSettings, "settings: %s:%d: unexpected text after the end of the object", name, lineAt(std, de.InputOffset()))
	}
	if err := v.Validate(); err != nil {
		return result.New(result.InvalidSettings, "settings: %s:%d: %s", name, lineOfKey(std, err), result.From(err).Message)
	}

	return nil
}

// lineAt returns the line number at an offset.
func lineAt(b []byte, offset int64) int {
	return 1 + bytes.Count(b[:min(int(offset), len(b))], []byte("\n"))
}

var unknownField = regexp.MustCompile(`unknown field "([^"]+)"`)

// lineOfDecodeError returns the line number of a decoding error.
func lineOfDecodeError(b []byte, de *json.Decoder, err error) int {
	var se *json.SyntaxError
	var te *json.UnmarshalTypeError
	switch {
	case errors.As(err, &se):
		return lineAt(b, se.Offset)
	case errors.As(err, &te):
		return lineAt(b, te.Offset)
	}
	if m := unknownField.FindStringSubmatch(err.Error()); m != nil {
		return lineAt(b, int64(bytes.Index(b, []byte(`"`+m[1]+`"`))))
	}

	return lineAt(b, de.InputOffset())
}

// keyError reports an invalid value of a key.
type keyError struct {
	key string // with the keys of enclosing objects, separated by dots
	msg string
}

func (ke *keyError) Error() string { return ke.key + ": " + ke.msg }

func invalidKey(key, format string, args ...any) error {
	return &keyError{key: key, msg: fmt.Sprintf(format, args...)}
}

// lineOfKey returns the number of the first line that contains the key of a keyError,
// or 1 if there is none.
func lineOfKey(b []byte, err error) int {
	var ke *keyError
	if !errors.As(err, &ke) {
		return 1
	}
	last := ke.key[strings.LastIndexByte(ke.key, '.')+1:]
	if i := bytes.Index(b, []byte(`"`+last+`"`)); i >= 0 {
		return lineAt(b, int64(i))
	}

	return 1
}

// Defaults sets the fields of a settings struct to the values of their default tags.
func Defaults(v any) {
	walkFields(reflect.ValueOf(v).Elem(), "", func(_ string, f reflect.Value, sf reflect.StructField) {
		d := sf.Tag.Get("default")
		if d == "" {
			return
		}
		switch f.Kind() {
		case reflect.Int:
			var n int
			if _, err := fmt.Sscan(d, &n); err == nil {
				f.SetInt(int64(n))
			}
		case reflect.String:
			f.SetString(d)
		}
	})
}

// walkFields calls visit for every field of a struct and of the structs in it.
func walkFields(v reflect.Value, prefix string, visit func(path string, f reflect.Value, sf reflect.StructField)) {
	for i := range v.NumField() {
		sf := v.Type().Field(i)
		path := prefix + sf.Tag.Get("json")
		visit(path, v.Field(i), sf)
		if sf.Type.Kind() == reflect.Struct {
			walkFields(v.Field(i), path+".", visit)
		}
	}
}

// WriteReference writes every key of a settings struct with its type, meaning and default.
func WriteReference(w io.Writer, v any) {
	walkFields(reflect.ValueOf(v).Elem(), "", func(path string, _ reflect.Value, sf reflect.StructField) {
		d := sf.Tag.Get("default")
		if d != "" {
			d = " (default " + d + ")"
		}
		fmt.Fprintf(w, "%-24s %-20s %s%s\n", path, sf.Type, sf.Tag.Get("help"), d)
	})
}

// checkAddress returns an error unless a is an IP number with a port.
func checkAddress(key, a string) error {
	if _, err := netip.ParseAddrPort(a); err != nil {
		return invalidKey(key, "%q is not an IP number with a port; host names are not allowed", a)
	}

	return nil
}

// Validate checks the settings of a gateway.
func (ga *Gateway) Validate() error {
	if ga.Name == "" {
		return invalidKey("name", "must be set")
	}
	seen := map[string]string{}
	for _, a := range []struct{ key, address string }{
		{"callerAddress", ga.CallerAddress}, {"operatorAddress", ga.OperatorAddress}, {"peerAddress", ga.PeerAddress},
	} {
		if err := checkAddress(a.key, a.address); err != nil {
			return err
		}
		if other, ok := seen[a.address]; ok {
			return invalidKey(a.key, "%s is also the %s", a.address, other)
		}
		seen[a.address] = a.key
	}
	if err := ga.validateFounders(); err != nil {
		return err
	}
	for _, a := range ga.Upstreams {
		if err := checkAddress("upstreams", a); err != nil {
			return err
		}
	}
	for key, a := range map[string]string{
		"outside.weightStore": ga.ExternalServices.WeightStore, "outside.ordering": ga.ExternalServices.Ordering,
		"outside.usage": ga.ExternalServices.Usage, "outside.scorer": ga.ExternalServices.Scorer,
	} {
		if a == "" {
			continue
		}
		if err := checkAddress(key, a); err != nil {
			return err
		}
	}

	return ga.validateOptions()
}

func (ga *Gateway) validateFounders() error {
	names, addresses := map[string]bool{}, map[string]bool{}
	for _, fo := range ga.Founders {
		if err := checkAddress("founders", fo.Address); err != nil {
			return err
		}
		if names[fo.Name] || addresses[fo.Address] || fo.Name == "" {
			return invalidKey("founders", "founder %q at %s is listed twice or has no name", fo.Name, fo.Address)
		}
		if fo.Name == ga.Name && fo.Address != ga.PeerAddress {
			return invalidKey("founders", "founder %q is at %s, but the peerAddress of this gateway is %s", fo.Name, fo.Address, ga.PeerAddress)
		}
		if fo.Address == ga.PeerAddress && fo.Name != ga.Name {
			return invalidKey("founders", "%s is the address of founder %q and of this gateway, %q", fo.Address, fo.Name, ga.Name)
		}
		names[fo.Name], addresses[fo.Address] = true, true
	}
	if len(ga.Founders) == 0 && (ga.DataFolder != "" || len(ga.Upstreams) == 0) {
		return invalidKey("founders", "must name at least one gateway")
	}

	return nil
}

// validateOptions validates times, policy, operators, TLS and the log level.
func (ga *Gateway) validateOptions() error {
	switch ti := ga.Times; {
	case ti.ElectionMs < 3*ti.HeartbeatMs || ti.HeartbeatMs < 10:
		return invalidKey("times.electionMs", "must be at least 3 times heartbeatMs, which must be at least 10")
	case ti.FreshnessMs < 2*ti.ElectionMs:
		return invalidKey("times.freshnessMs", "must be at least twice electionMs")
	case ti.LeaseMs < 2*ti.MaxCallMs || ti.MaxCallMs < 50:
		return invalidKey("times.leaseMs", "must be at least twice maxCallMs, which must be at least 50")
	}
	switch ga.Policy.Scheduler {
	case "", "score", "roundRobin", "leastInFlight":
	default:
		return invalidKey("policy.scheduler", "%q is not one of score, roundRobin, leastInFlight", ga.Policy.Scheduler)
	}
	for _, op := range ga.Operators {
		if op.Name == "" || len(op.TokenHash) != 64 {
			return invalidKey("operators", "each operator needs a name and a tokenHash of 64 hex digits")
		}
	}
	if ga.TLS.IsSet() && (ga.TLS.Key == "" || ga.TLS.CA == "") {
		return invalidKey("tls", "certificate, key and ca must be set together")
	}

	return checkLevel(ga.LogLevel)
}

func checkLevel(l string) error {
	switch l {
	case "debug", "info", "warn", "error":
		return nil
	}

	return invalidKey("logLevel", "%q is not one of debug, info, warn, error", l)
}

// Validate checks the settings of an agent.
func (ag *Agent) Validate() error {
	switch {
	case ag.Server == "":
		return invalidKey("server", "must be set")
	case (ag.Model == "") == (ag.Service == ""):
		return invalidKey("model", "exactly one of model and service must be set")
	case ag.Slots < 1:
		return invalidKey("slots", "must be at least 1")
	case len(ag.Gateways) == 0:
		return invalidKey("gateways", "must name at least one gateway")
	case ag.TLS.IsSet() && (ag.TLS.Key == "" || ag.TLS.CA == ""):
		return invalidKey("tls", "certificate, key and ca must be set together")
	}
	if err := checkAddress("address", ag.Address); err != nil {
		return err
	}
	for _, a := range ag.Gateways {
		if err := checkAddress("gateways", a); err != nil {
			return err
		}
	}
	if ag.Bind != "" {
		if _, err := netip.ParseAddr(ag.Bind); err != nil {
			return invalidKey("bind", "%q is not an IP number", ag.Bind)
		}
	}

	return checkLevel(ag.LogLevel)
}
