package declaration

import "time"

// Class describes backend servers that can be ordered: what they serve and what they cost.
type Class struct {
	Model         string  `json:"model,omitempty"`
	Service       string  `json:"service,omitempty"`
	PricePerHour  float64 `json:"pricePerHour"`
	StartupMs     int     `json:"startupMs"`
	Slots         int     `json:"slots"`           // requests that run at once
	TokensPerSec  float64 `json:"tokensPerSecond"` // of one backend server, all slots busy
	ChecksFencing bool    `json:"checksFencing"`
}

// Defaults fills the fields left zero.
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
	if cl.Slots < 1 || cl.StartupMs < 1 || cl.PricePerHour < 0 || cl.TokensPerSec < 0 {
		return invalid(path, "slots and startupMs must be at least 1, prices and rates not negative")
	}

	return nil
}

// Serves returns what the class serves, a model or a service.
func (cl Class) Serves() string {
	if cl.Model != "" {
		return cl.Model
	}

	return cl.Service
}

// Fleet bounds the number of backend servers of a class in each failure domain. Its name is the class's.
type Fleet struct {
	MinPerDomain   int      `json:"minPerDomain"`
	MaxPerDomain   int      `json:"maxPerDomain"`
	FailureDomains []string `json:"failureDomains"`
	SpareDomains   int      `json:"spareDomains"` // failure domains that may be lost without loss of service
	IdleMs         int      `json:"idleMs"`       // how long a backend server is not needed before it is given up
	TargetLoad     float64  `json:"targetLoad"`   // share of the slots that should be busy
}

// Defaults fills the fields left zero.
func (fl *Fleet) Defaults() {
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

// Validate checks the bounds of the class called name.
func (fl Fleet) Validate(name string, se *Set) error {
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

// Idle returns how long a backend server is not needed before it is given up.
func (fl Fleet) Idle() time.Duration { return time.Duration(fl.IdleMs) * time.Millisecond }
