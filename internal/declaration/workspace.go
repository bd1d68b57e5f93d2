package declaration

// Workspace is one member or tenant: whoever shows one of its keys is served under its limits.
type Workspace struct {
	Weight        float64 `json:"weight"`        // share of the backend servers against other workspaces
	RatePerSecond float64 `json:"ratePerSecond"` // requests a second, 0 for no limit
	Burst         int     `json:"burst"`         // requests
	MaxInFlight   int     `json:"maxInFlight"`   // requests on all gateways, 0 for no limit
	MaxQueued     int     `json:"maxQueued"`     // requests waiting on one gateway
	Home          string  `json:"home"`          // group that holds the workspace's state
}

// Defaults fills the fields left zero.
func (wo *Workspace) Defaults() {
	if wo.Weight == 0 {
		wo.Weight = 1
	}
	if wo.RatePerSecond > 0 && wo.Burst == 0 {
		wo.Burst = max(1, int(wo.RatePerSecond))
	}
	if wo.MaxQueued == 0 {
		wo.MaxQueued = 4096
	}
	if wo.Home == "" {
		wo.Home = "main"
	}
}

// Validate checks the workspace called name.
func (wo Workspace) Validate(name string, _ *Set) error {
	path := KindWorkspace + "/" + name
	switch {
	case wo.Weight < 0.001 || wo.Weight > 1000:
		return invalid(path, "weight %g is not between 0.001 and 1000", wo.Weight)
	case wo.RatePerSecond < 0 || wo.MaxInFlight < 0 || wo.MaxQueued < 1 || wo.Burst < 0:
		return invalid(path, "limits must not be negative and maxQueued at least 1")
	}

	return nil
}
