package routing

import (
	"cmp"
	"slices"
	"strings"
)

// Table looks up the route of a request and the workspace of an API key. It is
// immutable: a new configuration gets a new table.
type Table struct {
	cfg      *Config
	byHost   map[string][]*Route // by host, the longest prefix first
	byKey    map[string]*Workspace
	byName   map[string]*Workspace
	services map[string]*Service
}

// NewTable returns the table of a valid configuration, which must not be changed afterwards.
func NewTable(cfg *Config) *Table {
	ta := &Table{
		cfg: cfg, byHost: map[string][]*Route{}, byKey: map[string]*Workspace{}, byName: map[string]*Workspace{}, services: map[string]*Service{},
	}
	for i := range cfg.Routes {
		ro := &cfg.Routes[i]
		ta.byHost[ro.Host] = append(ta.byHost[ro.Host], ro)
	}
	for _, ros := range ta.byHost {
		slices.SortFunc(ros, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range cfg.Workspaces {
		ta.byName[cfg.Workspaces[i].Name] = &cfg.Workspaces[i]
		for _, key := range cfg.Workspaces[i].Keys {
			ta.byKey[key] = &cfg.Workspaces[i]
		}
	}
	for i := range cfg.Services {
		ta.services[cfg.Services[i].Name] = &cfg.Services[i]
	}

	return ta
}

// Version returns the version of the configuration, 0 if none has been set.
func (ta *Table) Version() uint64 { return ta.cfg.Version }

// Config returns the configuration of the table.
func (ta *Table) Config() *Config { return ta.cfg }

// Match returns the route of host with the longest prefix of path, or nil. The port of
// host is ignored unless a route names it.
func (ta *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && ta.byHost[host] == nil {
		host = host[:i]
	}
	for _, ro := range ta.byHost[host] {
		if strings.HasPrefix(path, ro.Prefix) {
			return ro
		}
	}

	return nil
}

// Owner returns the workspace that holds key, or nil.
func (ta *Table) Owner(key string) *Workspace { return ta.byKey[key] }

// Workspace returns the workspace called name, or nil.
func (ta *Table) Workspace(name string) *Workspace { return ta.byName[name] }

// NeedsKeys reports whether the configuration declares workspaces at all.
func (ta *Table) NeedsKeys() bool { return len(ta.cfg.Workspaces) > 0 }

// Service returns the declared service called name, or nil.
func (ta *Table) Service(name string) *Service { return ta.services[name] }

// Urgency returns the rank of a workspace's requests on a route; 0 is the most urgent. The
// workspace may be nil.
func (ro *Route) Urgency(ws *Workspace) int {
	if ws != nil && ws.Priority != nil {
		return *ws.Priority
	}

	return ro.Priority
}

// AllowedRegions returns the regions in which requests of a workspace on the route may run: those
// that both name, if both name any. It returns nil if neither does, so that any region is
// allowed, and an empty list that is not nil if they have none in common. The workspace may be nil.
func (ro *Route) AllowedRegions(ws *Workspace) []string {
	switch {
	case ws == nil || len(ws.Regions) == 0:
		if len(ro.Regions) == 0 {
			return nil
		}

		return ro.Regions
	case len(ro.Regions) == 0:
		return ws.Regions
	}
	out := []string{}
	for _, re := range ro.Regions {
		if slices.Contains(ws.Regions, re) {
			out = append(out, re)
		}
	}

	return out
}

// Allows reports whether requests of the route may go to a service.
func (ro *Route) Allows(service string) bool {
	return slices.ContainsFunc(ro.Targets, func(ta Target) bool { return ta.Service == service && ta.Weight > 0 })
}

// PickAllowed is PickTarget among the targets whose service is allowed, or among all if none is.
func (ro *Route) PickAllowed(draw float64, isAllowed func(service string) bool) string {
	some := Route{}
	for _, ta := range ro.Targets {
		if ta.Weight > 0 && isAllowed(ta.Service) {
			some.Targets = append(some.Targets, ta)
		}
	}
	if len(some.Targets) == 0 {
		return ro.PickTarget(draw)
	}

	return some.PickTarget(draw)
}

// PickTarget returns the service of a target chosen by weight; draw is a random number
// in [0, 1).
func (ro *Route) PickTarget(draw float64) string {
	sum := 0
	for _, ta := range ro.Targets {
		sum += ta.Weight
	}
	at := int(draw * float64(sum))
	for _, ta := range ro.Targets {
		if at < ta.Weight {
			return ta.Service
		}
		at -= ta.Weight
	}

	return ""
}
