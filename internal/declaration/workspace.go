package declaration

// Workspace is a member or tenant. Requests with one of its keys are subject to its
// limits.
type Workspace struct {
	Weight        float64 `json:"weight"`        // share of the backend servers relative to other workspaces
	RatePerSecond float64 `json:"ratePerSecond"` // requests per second; 0 for no limit
	Burst         int     `json:"burst"`         // requests that may arrive at once; the size of the token bucket
	MaxInFlight   int     `json:"maxInFlight"`   // requests in flight on all gateways; 0 for no limit
	MaxQueued     int     `json:"maxQueued"`     // requests queued on one gateway
	Home          string  `json:"home"`          // replica group that holds the workspace's state
}

// Defaults sets fields that are zero to their defaults.
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
