package declaration

import "time"

// Class describes a type of backend server that can be ordered from the platform: what
// it serves and what it costs.
type Class struct {
	Model           string  `json:"model,omitempty"`
	Service         string  `json:"service,omitempty"`
	PricePerHour    float64 `json:"pricePerHour"`
	StartupMs       int     `json:"startupMs"`
	Slots           int     `json:"slots"`           // maximum number of concurrent requests
	TokensPerSecond float64 `json:"tokensPerSecond"` // of one backend server with all slots busy
	ChecksFencing   bool    `json:"checksFencing"`
}

// Defaults sets fields that are zero to their defaults.
func (cl *Class) Defaults() {
	if cl.Slots == 0 {
		cl.Slots = 8
	}
	if cl.StartupMs == 0 {
		cl.StartupMs = 60_000
	}
}

// Validate checks the class called name.
func (cl Class) Validate(name string, se *Set) error {
	path := KindClass + "/" + name
	if (cl.Model == "") == (cl.Service == "") {
		return invalid(path, "exactly one of model and service must be set")
	}
	if _, ok := se.Models[cl.Model]; cl.Model != "" && !ok {
		return invalid(path, "model %q does not exist", cl.Model)
	}
	if cl.Slots < 1 || cl.StartupMs < 1 || cl.PricePerHour < 0 || cl.TokensPerSecond < 0 {
		return invalid(path, "slots and startupMs must be at least 1, prices and rates not negative")
	}

	return nil
}

// Serves returns the name of the model or service that the class serves.
func (cl Class) Serves() string {
	if cl.Model != "" {
		return cl.Model
	}

	return cl.Service
}

// FleetBounds limits the number of backend servers of a class in each failure domain. It has
// the same name as the class.
type FleetBounds struct {
	MinPerDomain   int      `json:"minPerDomain"`
	MaxPerDomain   int      `json:"maxPerDomain"`
	FailureDomains []string `json:"failureDomains"`
	SpareDomains   int      `json:"spareDomains"` // number of failure domains that may be lost without loss of service
	IdleMs         int      `json:"idleMs"`       // how long a backend server stays unneeded before it is stopped
	TargetLoad     float64  `json:"targetLoad"`   // target share of busy slots, over 0 and up to 1
}

// Defaults sets fields that are zero to their defaults.
func (fl *FleetBounds) Defaults() {
	if fl.IdleMs == 0 {
		fl.IdleMs = 60_000
	}
	if fl.TargetLoad == 0 {
		fl.TargetLoad = 0.7
	}
	if fl.MaxPerDomain == 0 {
		fl.MaxPerDomain = max(fl.MinPerDomain, 1)
	}
}

// Validate checks the fleet of the class called name.
func (fl FleetBounds) Validate(name string, se *Set) error {
	path := KindFleet + "/" + name
	if _, ok := se.Classes[name]; !ok {
		return invalid(path, "class %q does not exist", name)
	}
	switch {
	case fl.MinPerDomain < 0 || fl.MaxPerDomain < fl.MinPerDomain:
		return invalid(path, "minPerDomain %d and maxPerDomain %d are not a range", fl.MinPerDomain, fl.MaxPerDomain)
	case len(fl.FailureDomains) == 0:
		return invalid(path, "failureDomains is empty")
	case fl.SpareDomains < 0 || fl.SpareDomains >= len(fl.FailureDomains):
		return invalid(path, "spareDomains %d must be under the number of failure domains", fl.SpareDomains)
	case fl.TargetLoad <= 0 || fl.TargetLoad > 1:
		return invalid(path, "targetLoad %g is not in (0, 1]", fl.TargetLoad)
	}

	return nil
}

// Idle returns how long a backend server stays unneeded before it is stopped.
func (fl FleetBounds) Idle() time.Duration { return time.Duration(fl.IdleMs) * time.Millisecond }
