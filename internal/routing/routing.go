// Package routing holds what operators declare for requests that are routed by
// host and path: routes, services, workspaces with their keys, and limits. A
// configuration is replaced as a whole, and the highest version is in force.
package routing

import (
	"fmt"
	"strings"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/result"
)

// Kind says how often a request of a route may run.
type Kind uint8

// Kinds of routes.
const (
	Repeatable Kind = iota + 1 // may run any number of times
	AtMostOnce                 // runs at most once for each attempt of the client
	Batch                      // takes batch jobs, whose items may run any number of times
)

// Target is one of the services behind a route.
type Target struct {
	Service string `cbor:"1,keyasint"`
	Weight  int    `cbor:"2,keyasint"` // share of the requests, relative to the other targets
}

// Route connects requests of a host and path prefix with services.
type Route struct {
	Name            string        `cbor:"1,keyasint"`
	Host            string        `cbor:"2,keyasint"`
	Prefix          string        `cbor:"3,keyasint"` // begins and ends with a slash
	Kind            Kind          `cbor:"4,keyasint"`
	IsStreaming     bool          `cbor:"5,keyasint"` // answers are streams of events
	IsResumable     bool          `cbor:"6,keyasint"` // a stream may go on at another backend server
	IsSingleVersion bool          `cbor:"7,keyasint"` // one weight version must write a whole text
	IsPublic        bool          `cbor:"8,keyasint"` // served without a key
	Timeout         time.Duration `cbor:"9,keyasint"`
	Aim             time.Duration `cbor:"10,keyasint"` // latency objective
	Priority        int           `cbor:"11,keyasint"` // 0 is the most urgent
	MaxAttempts     int           `cbor:"12,keyasint"` // backend servers that one attempt of a client may reach
	ResultDeadline  time.Duration `cbor:"13,keyasint"` // of a batch job, from its submission
	MaxQueue        time.Duration `cbor:"14,keyasint"` // after it an item may be given up, 0 for never
	Targets         []Target      `cbor:"15,keyasint"`
}

// Engine describes the engines of a service that runs models.
type Engine struct {
	Models []string `cbor:"1,keyasint"`
}

// Service is a set of backend servers that can stand in for each other.
type Service struct {
	Name           string  `cbor:"1,keyasint"`
	HealthPath     string  `cbor:"2,keyasint"`
	MaxConnections int     `cbor:"3,keyasint"` // that one backend server accepts from all callers
	Engine         *Engine `cbor:"4,keyasint"`
}

// Workspace is a caller with its keys.
type Workspace struct {
	Name     string   `cbor:"1,keyasint"`
	Keys     []string `cbor:"2,keyasint"`
	Priority *int     `cbor:"3,keyasint"` // goes before the priority of the route
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int           `cbor:"1,keyasint"`
	MaxBodyBytes   int           `cbor:"2,keyasint"`
	HeaderTimeout  time.Duration `cbor:"3,keyasint"`
	IdleTimeout    time.Duration `cbor:"4,keyasint"`
}

// Config is a whole configuration under one version.
type Config struct {
	Version    uint64      `cbor:"1,keyasint"`
	Routes     []Route     `cbor:"2,keyasint"`
	Services   []Service   `cbor:"3,keyasint"`
	Workspaces []Workspace `cbor:"4,keyasint"`
	Limits     Limits      `cbor:"5,keyasint"`
}

func invalid(format string, args ...any) error {
	return result.New(result.InvalidDeclaration, "routing: "+format, args...)
}

// Validate checks the configuration as a whole.
func (c *Config) Validate() error {
	services := map[string]bool{}
	for _, se := range c.Services {
		if se.Name == "" || services[se.Name] {
			return invalid("service %q is unnamed or stands twice", se.Name)
		}
		services[se.Name] = true
	}

	nameByPrefix := map[string]string{}
	for i := range c.Routes {
		ro := &c.Routes[i]
		if err := ro.validate(services); err != nil {
			return err
		}
		hostPrefix := ro.Host + ro.Prefix
		if other, ok := nameByPrefix[hostPrefix]; ok {
			return invalid("routes %q and %q share host and prefix %s", other, ro.Name, hostPrefix)
		}
		nameByPrefix[hostPrefix] = ro.Name
	}

	return c.validateKeys()
}

func (ro *Route) validate(services map[string]bool) error {
	switch {
	case ro.Timeout <= 0:
		return invalid("route %q: the timeout is not above 0", ro.Name)
	case !strings.HasPrefix(ro.Prefix, "/") || !strings.HasSuffix(ro.Prefix, "/"):
		return invalid("route %q: prefix %q does not begin and end with a slash", ro.Name, ro.Prefix)
	case ro.Kind < Repeatable || ro.Kind > Batch:
		return invalid("route %q: unknown kind %d", ro.Name, ro.Kind)
	}

	sum := 0
	for _, ta := range ro.Targets {
		if !services[ta.Service] {
			return invalid("route %q: service %q is not declared", ro.Name, ta.Service)
		}
		if ta.Weight < 0 {
			return invalid("route %q: weight %d of service %q is negative", ro.Name, ta.Weight, ta.Service)
		}
		sum += ta.Weight
	}
	if sum == 0 {
		return invalid("route %q: its weights add up to 0", ro.Name)
	}

	return nil
}

func (c *Config) validateKeys() error {
	owner := map[string]string{}
	for _, ws := range c.Workspaces {
		for _, key := range ws.Keys {
			if other, ok := owner[key]; ok && other != ws.Name {
				return invalid("workspaces %q and %q share a key", other, ws.Name)
			}
			owner[key] = ws.Name
		}
	}

	return nil
}

// String names the route for logs.
func (ro *Route) String() string { return fmt.Sprintf("%s (%s%s)", ro.Name, ro.Host, ro.Prefix) }
